use super::*;
use saltdrum::interface::SECOND;

#[test]
fn kernel_was_polled_since_the_second_last_tick() {
    let event_loop = EventLoopClock::default();
    event_loop.tick(1_000);
    assert_eq!(event_loop.last_polled(), 0);
    event_loop.tick(1_100);
    assert_eq!(event_loop.last_polled(), 1_100);
    event_loop.tick(9_000);
    assert_eq!(
        event_loop.last_polled(),
        1_200,
        "data that arrived during the stop may not have been polled"
    );
}

#[test]
fn arrival_bound_after_a_stop_is_its_beginning() {
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
        "the kernel may not have been polled since the stop"
    );
    event_loop.tick(21_300);
    assert_eq!(
        poll_times.last_poll_bound(),
        21_200,
        "the kernel was polled between two ticks"
    );
}

/// A source that is empty until the test makes it ready.
struct Source {
    is_ready: bool,
    waker: Option<std::task::Waker>,
}

impl Source {
    fn poll(&mut self, arrivals: &mut ArrivalClock) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let polled = arrivals.poll(&mut cx, |cx| {
            self.waker = Some(cx.waker().clone());
            if self.is_ready {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        });
        polled.is_ready()
    }

    /// Makes the source ready and wakes its reader, as the kernel's readiness event does.
    fn set_ready(&mut self) {
        self.is_ready = true;
        self.waker.take().into_iter().for_each(Waker::wake);
    }
}

async fn advance_to(clock: Clock, to: Ticks) {
    clock.sleep_until(to).await;
}

/// Records ticks until `to`, as a running thread does.
async fn tick_until(event_loop: &EventLoopClock, clock: Clock, to: Ticks) {
    while clock.now() < to {
        event_loop.tick(clock.now());
        advance_to(clock, clock.now() + TICK_INTERVAL).await;
    }
}

/// Guards against a fault seen in the operators' pre-production environment: data that arrived during a stop was taken for new
/// after a second, shorter stop.
#[tokio::test(start_paused = true)]
async fn data_that_arrives_during_a_stop_keeps_its_age_over_further_stops() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let opened_at = clock.now();
    let mut arrivals = ArrivalClock::new(opened_at, clock, &event_loop);
    let mut source = Source {
        is_ready: false,
        waker: None,
    };
    assert!(!source.poll(&mut arrivals));
    tick_until(&event_loop, clock, opened_at + SECOND).await;
    // Data arrives during a stop of 5 s. The readiness event is delivered, and the thread is stopped twice more before it
    // reads.
    let stopped_at = clock.now();
    advance_to(clock, stopped_at + 5 * SECOND).await;
    source.set_ready();
    for _ in 0..2 {
        event_loop.tick(clock.now());
        advance_to(clock, clock.now() + 100 * MILLISECOND).await;
    }
    assert!(source.poll(&mut arrivals));
    assert!(
        arrivals.earliest_arrival() <= stopped_at,
        "{} for {stopped_at}",
        arrivals.earliest_arrival()
    );
    // Data that is read afterwards without a new readiness event has the same bound.
    assert!(source.poll(&mut arrivals));
    assert!(
        arrivals.earliest_arrival() <= stopped_at,
        "{} for {stopped_at}",
        arrivals.earliest_arrival()
    );
}

/// The converse case: a stop long ago does not affect the age of data that arrives for a reader that has waited since.
#[tokio::test(start_paused = true)]
async fn data_that_arrives_long_after_a_stop_is_new() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    let mut source = Source {
        is_ready: false,
        waker: None,
    };
    assert!(!source.poll(&mut arrivals));
    tick_until(&event_loop, clock, clock.now() + SECOND).await;
    advance_to(clock, clock.now() + 2 * SECOND).await;
    tick_until(&event_loop, clock, clock.now() + SECOND).await;
    source.set_ready();
    assert!(source.poll(&mut arrivals));
    assert!(
        clock.now() - arrivals.earliest_arrival() <= 2 * TICK_INTERVAL,
        "{} at {}",
        arrivals.earliest_arrival(),
        clock.now()
    );
}

/// Guards against a source that defers its reader, as tokio's cooperative budget occasionally does, being taken for empty.
#[tokio::test(start_paused = true)]
async fn deferred_poll_does_not_mark_the_source_as_empty() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    let (mut source, backlog) = (
        Source {
            is_ready: false,
            waker: None,
        },
        arrivals.backlog(),
    );
    assert!(!source.poll(&mut arrivals));
    tick_until(&event_loop, clock, clock.now() + SECOND).await;
    source.set_ready();
    let arrived_at = clock.now();
    advance_to(clock, arrived_at + 30 * MILLISECOND).await;
    let deferred = arrivals.poll(&mut Context::from_waker(Waker::noop()), |cx| {
        cx.waker().wake_by_ref();
        Poll::<()>::Pending
    });
    assert!(deferred.is_pending() && backlog.has_unread());
    advance_to(clock, arrived_at + 2 * SECOND).await;
    assert!(source.poll(&mut arrivals));
    assert!(
        arrivals.earliest_arrival() <= arrived_at,
        "{} for {arrived_at}",
        arrivals.earliest_arrival()
    );
}

#[tokio::test(start_paused = true)]
async fn backlog_is_unread_from_the_readiness_event_until_an_empty_poll() {
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    let (mut source, backlog) = (
        Source {
            is_ready: false,
            waker: None,
        },
        arrivals.backlog(),
    );
    assert!(!source.poll(&mut arrivals) && !backlog.has_unread());
    source.set_ready();
    assert!(backlog.has_unread(), "readiness was reported, nothing read");
    assert!(
        source.poll(&mut arrivals) && backlog.has_unread(),
        "data was read, the source not found empty"
    );
    source.is_ready = false;
    assert!(!source.poll(&mut arrivals) && !backlog.has_unread());
    source.set_ready();
    drop(arrivals);
    assert!(!backlog.has_unread(), "the reader was dropped");
}

/// Polls a reader once. Returns whether it is ready.
async fn poll_once<S: AsyncRead + Unpin>(reader: &mut ArrivalReader<S>) -> bool {
    let mut read = Box::pin(reader.read_more());
    poll_fn(|cx| Poll::Ready(read.as_mut().poll(cx).is_ready())).await
}

/// Guards against a poll that uses outdated readiness. In the first turn of the event loop after a stop, a task that runs for
/// another reason polls its reader with the readiness from before the stop, which does not show that the socket is empty now.
#[test]
fn socket_poll_before_the_kernel_poll_does_not_mark_it_as_empty() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (clock, event_loop) = (Clock::start(), EventLoopClock::default());
        let any_port = crate::Address::Tcp("127.0.0.1:0".into());
        let (mut listener, address) = crate::Network::listen(&crate::SocketNetwork, &any_port)
            .await
            .unwrap();
        let crate::Address::Tcp(host_and_port) = address else {
            unreachable!("the listener uses TCP")
        };
        let mut peer = std::net::TcpStream::connect(host_and_port).unwrap();
        let stream = listener.accept().await.unwrap();
        let mut reader = ArrivalReader::new(stream, clock, event_loop.clone());
        for _ in 0..4 {
            assert!(!poll_once(&mut reader).await);
            event_loop.tick(clock.now());
            clock.sleep_until(clock.now() + TICK_INTERVAL).await;
        }
        let written_at = clock.now();
        std::io::Write::write_all(&mut peer, b"x").unwrap();
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert!(
            !poll_once(&mut reader).await,
            "the kernel was not polled yet"
        );
        event_loop.tick(clock.now());
        let earliest = reader.read_more().await.unwrap().unwrap();
        assert!(
            earliest <= written_at,
            "arrival bound {} ms after the write",
            (earliest - written_at) / MILLISECOND
        );
    });
}

/// Guards against using the time of a read as the time of the event. A stop takes effect as a system call returns: the source
/// was found empty, the process was stopped, and only then was the clock read.
#[tokio::test]
async fn stop_right_after_an_empty_poll_does_not_make_data_newer() {
    const STOP: std::time::Duration = std::time::Duration::from_millis(120);
    let (event_loop, clock) = (EventLoopClock::default(), Clock::start());
    let mut arrivals = ArrivalClock::new(clock.now(), clock, &event_loop);
    for _ in 0..2 {
        event_loop.tick(clock.now());
    }
    let mut waker = None;
    let stopped_at = clock.now();
    let mut cx = Context::from_waker(Waker::noop());
    let polled = arrivals.poll(&mut cx, |cx| {
        waker = Some(cx.waker().clone());
        std::thread::sleep(STOP);
        Poll::<()>::Pending
    });
    assert!(polled.is_pending());
    waker.into_iter().for_each(Waker::wake);
    assert!(arrivals.poll(&mut cx, |_| Poll::Ready(())).is_ready());
    let earliest = arrivals.earliest_arrival();
    assert!(
        earliest <= stopped_at + 2 * MILLISECOND,
        "{} ticks after the stop began",
        earliest - stopped_at
    );
}

/// Guards against requests that waited in a socket during a long stop and were taken for new after a following short stop:
/// between the two stops the tick task ran, but the kernel was not polled.
#[test]
fn data_keeps_its_age_if_the_kernel_was_not_polled_between_two_stops() {
    const LONG_STOP: std::time::Duration = std::time::Duration::from_millis(300);
    const SHORT_STOP: std::time::Duration = std::time::Duration::from_millis(100);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (clock, event_loop) = (Clock::start(), EventLoopClock::default());
        let any_port = crate::Address::Tcp("127.0.0.1:0".into());
        let (mut listener, address) = crate::Network::listen(&crate::SocketNetwork, &any_port)
            .await
            .unwrap();
        let crate::Address::Tcp(host_and_port) = address else {
            unreachable!("the listener uses TCP")
        };
        let mut peer = std::net::TcpStream::connect(host_and_port).unwrap();
        let stream = listener.accept().await.unwrap();
        let mut reader = ArrivalReader::new(stream, clock, event_loop.clone());
        for _ in 0..4 {
            assert!(!poll_once(&mut reader).await);
            event_loop.tick(clock.now());
            clock.sleep_until(clock.now() + TICK_INTERVAL).await;
        }
        let written_at = clock.now();
        std::io::Write::write_all(&mut peer, b"x").unwrap();
        std::thread::sleep(LONG_STOP);
        event_loop.tick(clock.now());
        std::thread::sleep(SHORT_STOP);
        let earliest = reader.read_more().await.unwrap().unwrap();
        assert!(
            earliest <= written_at,
            "arrival bound {} ms after the write",
            (earliest - written_at) / MILLISECOND
        );
    });
}

/// Guards against readers that hold a buffer while they wait, or the buffer of a large message after it was consumed.
#[tokio::test(flavor = "current_thread")]
async fn reader_holds_only_unconsumed_bytes() {
    let (mut near_end, far_end) = tokio::io::duplex(64 << 10);
    let mut reader = ArrivalReader::new(far_end, Clock::start(), EventLoopClock::default());
    assert!(!poll_once(&mut reader).await);
    assert_eq!(reader.bytes.capacity(), 0);
    tokio::io::AsyncWriteExt::write_all(&mut near_end, &[7; 9_000])
        .await
        .unwrap();
    assert!(poll_once(&mut reader).await);
    drop(reader.bytes.split_to(8_999));
    reader.release_consumed(20);
    assert_eq!((reader.bytes.len(), reader.bytes.capacity()), (1, 20));
    reader.bytes.clear();
    reader.release_consumed(20);
    assert_eq!(reader.bytes.capacity(), 0);
}
