use super::*;
use saltdrum::interface::SECOND;

#[test]
fn data_from_before_the_last_but_one_tick_has_been_polled() {
    let event_loop = EventLoopClock::default();
    event_loop.tick(1_000);
    assert_eq!(event_loop.last_polled(), 0);
    event_loop.tick(1_100);
    assert_eq!(event_loop.last_polled(), 1_100);
    event_loop.tick(9_000);
    assert_eq!(
        event_loop.last_polled(),
        1_200,
        "it stood still: what came meanwhile may not have been asked for"
    );
}

#[test]
fn data_reported_after_a_stop_may_have_arrived_when_it_began() {
    let event_loop = EventLoopClock::default();
    let poll_times = event_loop.poll_times();
    for at in [1_000, 1_100, 1_200] {
        assert_eq!(event_loop.tick(at), None);
    }
    assert_eq!(
        poll_times.last_poll_bound(),
        1_100,
        "a stop may have begun right after the last tick, before a poll"
    );
    assert_eq!(event_loop.tick(21_200), Some(20_000));
    assert_eq!(
        poll_times.last_poll_bound(),
        1_200,
        "the machine may not have been asked since the stop"
    );
    event_loop.tick(21_300);
    assert_eq!(
        poll_times.last_poll_bound(),
        21_200,
        "it was asked between two ticks"
    );
}

/// A source that is empty or not, as the test says.
struct Source {
    has: bool,
    waits: Option<std::task::Waker>,
}

impl Source {
    fn ask(&mut self, arrivals: &mut ArrivalClock) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let polled = arrivals.poll(&mut cx, |cx| {
            self.waits = Some(cx.waker().clone());
            if self.has {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        });
        polled.is_ready()
    }

    /// The machine says that there is something.
    fn has(&mut self) {
        self.has = true;
        self.waits.take().into_iter().for_each(Waker::wake);
    }
}

async fn pass(clock: Clock, to: Ticks) {
    clock.sleep_until(to).await;
}

/// Ticks as on a running thread, until `to`.
async fn tick_until(event_loop: &EventLoopClock, clock: Clock, to: Ticks) {
    while clock.now() < to {
        event_loop.tick(clock.now());
        pass(clock, clock.now() + TICK_INTERVAL).await;
    }
}

/// Found on the operators' pre-production: what lay in the machine over a stop was taken for new after a second, shorter one.
#[tokio::test(start_paused = true)]
async fn data_that_arrived_during_a_stop_keeps_its_age_over_further_stops() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let began = clock.now();
    let mut arrivals = ArrivalClock::new(began, clock, &event_loop);
    let mut source = Source {
        has: false,
        waits: None,
    };
    assert!(!source.ask(&mut arrivals));
    tick_until(&event_loop, clock, began + SECOND).await;
    // A stop of 5 s, in which something comes; the thread is told of it, and stopped twice more before it asks.
    let stopped = clock.now();
    pass(clock, stopped + 5 * SECOND).await;
    source.has();
    for _ in 0..2 {
        event_loop.tick(clock.now());
        pass(clock, clock.now() + 100 * MILLISECOND).await;
    }
    assert!(source.ask(&mut arrivals));
    assert!(
        arrivals.earliest_arrival() <= stopped,
        "{} for {stopped}",
        arrivals.earliest_arrival()
    );
    // What lies behind it in the queue is no younger.
    assert!(source.ask(&mut arrivals));
    assert!(
        arrivals.earliest_arrival() <= stopped,
        "{} for {stopped}",
        arrivals.earliest_arrival()
    );
}

/// The other side: an old stop says nothing of what comes long after it to a reader that has waited since before.
#[tokio::test(start_paused = true)]
async fn data_that_arrives_long_after_a_stop_is_new() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    let mut source = Source {
        has: false,
        waits: None,
    };
    assert!(!source.ask(&mut arrivals));
    tick_until(&event_loop, clock, clock.now() + SECOND).await;
    pass(clock, clock.now() + 2 * SECOND).await;
    tick_until(&event_loop, clock, clock.now() + SECOND).await;
    source.has();
    assert!(source.ask(&mut arrivals));
    assert!(
        clock.now() - arrivals.earliest_arrival() <= 2 * TICK_INTERVAL,
        "{} at {}",
        arrivals.earliest_arrival(),
        clock.now()
    );
}

/// Found by rereading: a source that puts its reader off, as tokio's do once in a while, was taken for empty.
#[tokio::test(start_paused = true)]
async fn a_poll_that_is_deferred_does_not_show_an_empty_source() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    let (mut source, backlog) = (
        Source {
            has: false,
            waits: None,
        },
        arrivals.backlog(),
    );
    assert!(!source.ask(&mut arrivals));
    tick_until(&event_loop, clock, clock.now() + SECOND).await;
    source.has();
    let came = clock.now();
    pass(clock, came + 30 * MILLISECOND).await;
    let put_off = arrivals.poll(&mut Context::from_waker(Waker::noop()), |cx| {
        cx.waker().wake_by_ref();
        Poll::<()>::Pending
    });
    assert!(put_off.is_pending() && backlog.has_unread());
    pass(clock, came + 2 * SECOND).await;
    assert!(source.ask(&mut arrivals));
    assert!(
        arrivals.earliest_arrival() <= came,
        "{} for {came}",
        arrivals.earliest_arrival()
    );
}

#[tokio::test(start_paused = true)]
async fn a_backlog_is_known_from_the_readiness_event_on() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    let (mut source, backlog) = (
        Source {
            has: false,
            waits: None,
        },
        arrivals.backlog(),
    );
    assert!(!source.ask(&mut arrivals) && !backlog.has_unread());
    source.has();
    assert!(backlog.has_unread(), "told of, not read");
    assert!(
        source.ask(&mut arrivals) && backlog.has_unread(),
        "read, not to its end"
    );
    source.has = false;
    assert!(!source.ask(&mut arrivals) && !backlog.has_unread());
    source.has();
    drop(arrivals);
    assert!(!backlog.has_unread(), "nobody reads any more");
}

/// Polls a reader once. Gives whether it has something.
async fn polls_once<S: AsyncRead + Unpin>(read: &mut ArrivalReader<S>) -> bool {
    let mut more = Box::pin(read.read_more());
    poll_fn(|cx| Poll::Ready(more.as_mut().poll(cx).is_ready())).await
}

/// A reader whose task has another reason to run, in the first turn after a stop, hears what the machine said before the
/// stop: nothing. That is no look.
#[test]
fn a_socket_polled_before_the_kernel_was_not_found_empty() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (clock, event_loop) = (Clock::start(), EventLoopClock::default());
        let any = crate::Address::Tcp("127.0.0.1:0".into());
        let (mut door, at) = crate::Network::listen(&crate::SocketNetwork, &any)
            .await
            .unwrap();
        let crate::Address::Tcp(at) = at else {
            unreachable!("it listens on TCP")
        };
        let mut peer = std::net::TcpStream::connect(at).unwrap();
        let mut read = ArrivalReader::new(door.accept().await.unwrap(), clock, event_loop.clone());
        for _ in 0..4 {
            assert!(!polls_once(&mut read).await);
            event_loop.tick(clock.now());
            clock.sleep_until(clock.now() + TICK_INTERVAL).await;
        }
        let written = clock.now();
        std::io::Write::write_all(&mut peer, b"x").unwrap();
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert!(
            !polls_once(&mut read).await,
            "the machine was not asked yet"
        );
        event_loop.tick(clock.now());
        let came = read.read_more().await.unwrap().unwrap();
        assert!(
            came <= written,
            "it came {} ms late",
            (came - written) / MILLISECOND
        );
    });
}

/// A stop takes effect as a system call returns: the source was found empty, the process stood still, and only then was the
/// clock read. Found by rereading for the class of bugs "when it is read is taken for when it happened".
#[tokio::test]
async fn a_stop_right_after_an_empty_poll_makes_nothing_younger() {
    const STOP: std::time::Duration = std::time::Duration::from_millis(120);
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    for _ in 0..2 {
        event_loop.tick(clock.now());
    }
    let mut waits = None;
    let stopped_at = clock.now();
    let mut cx = Context::from_waker(Waker::noop());
    let polled = arrivals.poll(&mut cx, |cx| {
        waits = Some(cx.waker().clone());
        std::thread::sleep(STOP);
        Poll::<()>::Pending
    });
    assert!(polled.is_pending());
    waits.into_iter().for_each(Waker::wake);
    assert!(arrivals.poll(&mut cx, |_| Poll::Ready(())).is_ready());
    let earliest = arrivals.earliest_arrival();
    assert!(
        earliest <= stopped_at + 2 * MILLISECOND,
        "{} ticks after the stop began",
        earliest - stopped_at
    );
}

/// Guards against requests that lay in a socket over a long stop and were taken for new after a short one: between the two
/// stops the tick's task ran, and the kernel was not polled.
#[test]
fn data_keeps_its_age_when_a_tick_between_two_stops_polled_nothing() {
    const LONG_STOP: std::time::Duration = std::time::Duration::from_millis(300);
    const SHORT_STOP: std::time::Duration = std::time::Duration::from_millis(100);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (clock, event_loop) = (Clock::start(), EventLoopClock::default());
        let any = crate::Address::Tcp("127.0.0.1:0".into());
        let (mut listener, at) = crate::Network::listen(&crate::SocketNetwork, &any)
            .await
            .unwrap();
        let crate::Address::Tcp(at) = at else {
            unreachable!("it listens on TCP")
        };
        let mut peer = std::net::TcpStream::connect(at).unwrap();
        let stream = listener.accept().await.unwrap();
        let mut read = ArrivalReader::new(stream, clock, event_loop.clone());
        for _ in 0..4 {
            assert!(!polls_once(&mut read).await);
            event_loop.tick(clock.now());
            clock.sleep_until(clock.now() + TICK_INTERVAL).await;
        }
        let written = clock.now();
        std::io::Write::write_all(&mut peer, b"x").unwrap();
        std::thread::sleep(LONG_STOP);
        event_loop.tick(clock.now());
        std::thread::sleep(SHORT_STOP);
        let came = read.read_more().await.unwrap().unwrap();
        assert!(
            came <= written,
            "it came {} ms late",
            (came - written) / MILLISECOND
        );
    });
}
