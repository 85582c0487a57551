use super::*;
use saltdrum::interface::SECOND;

#[test]
fn what_came_before_the_last_turn_but_one_has_been_asked_for() {
    let turns = EventLoopClock::default();
    turns.turn(1_000);
    assert_eq!(turns.looked(), 0);
    turns.turn(1_100);
    assert_eq!(turns.looked(), 1_100);
    turns.turn(9_000);
    assert_eq!(
        turns.looked(),
        1_200,
        "it stood still: what came meanwhile may not have been asked for"
    );
}

#[test]
fn what_the_machine_tells_after_a_stop_may_have_come_when_it_began() {
    let turns = EventLoopClock::default();
    let looks = turns.looks();
    for at in [1_000, 1_100, 1_200] {
        assert_eq!(turns.turn(at), None);
    }
    assert_eq!(
        looks.looked_before(1_210),
        1_100,
        "not before the turn before the last"
    );
    assert_eq!(
        looks.looked_before(9_000),
        1_200,
        "no turn since: the stop has just ended"
    );
    assert_eq!(turns.turn(21_200), Some(20_000));
    assert_eq!(
        looks.looked_before(21_210),
        1_200,
        "the machine may not have been asked since the stop"
    );
    turns.turn(21_300);
    assert_eq!(
        looks.looked_before(21_310),
        21_200,
        "it was asked between two turns"
    );
}

/// A source that is empty or not, as the test says.
struct Source {
    has: bool,
    waits: Option<std::task::Waker>,
}

impl Source {
    fn ask(&mut self, watch: &mut ArrivalClock) -> bool {
        let mut cx = Context::from_waker(Waker::noop());
        let polled = watch.poll(&mut cx, |cx| {
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

/// EventLoopClock as a running thread takes them, up to `to`.
async fn turns_to(turns: &EventLoopClock, clock: Clock, to: Ticks) {
    while clock.now() < to {
        turns.turn(clock.now());
        pass(clock, clock.now() + TURN_EVERY).await;
    }
}

/// Found on the operators' pre-production: what lay in the machine over a stop was taken for new after a second, shorter one.
#[tokio::test(start_paused = true)]
async fn what_came_over_a_stop_is_as_old_after_further_stops() {
    let (turns, clock) = (EventLoopClock::default(), Clock::start());
    let began = clock.now();
    let mut watch = ArrivalClock::new(began, clock, &turns);
    let mut source = Source {
        has: false,
        waits: None,
    };
    assert!(!source.ask(&mut watch));
    turns_to(&turns, clock, began + SECOND).await;
    // A stop of 5 s, in which something comes; the thread is told of it, and stopped twice more before it asks.
    let stopped = clock.now();
    pass(clock, stopped + 5 * SECOND).await;
    source.has();
    for _ in 0..2 {
        turns.turn(clock.now());
        pass(clock, clock.now() + 100 * MILLISECOND).await;
    }
    assert!(source.ask(&mut watch));
    assert!(
        watch.earliest() <= stopped,
        "{} for {stopped}",
        watch.earliest()
    );
    // What lies behind it in the queue is no younger.
    assert!(source.ask(&mut watch));
    assert!(
        watch.earliest() <= stopped,
        "{} for {stopped}",
        watch.earliest()
    );
}

/// The other side: an old stop says nothing of what comes long after it to a reader that has waited since before.
#[tokio::test(start_paused = true)]
async fn what_comes_long_after_a_stop_is_new() {
    let (turns, clock) = (EventLoopClock::default(), Clock::start());
    let mut watch = ArrivalClock::new(clock.now(), clock, &turns);
    let mut source = Source {
        has: false,
        waits: None,
    };
    assert!(!source.ask(&mut watch));
    turns_to(&turns, clock, clock.now() + SECOND).await;
    pass(clock, clock.now() + 2 * SECOND).await;
    turns_to(&turns, clock, clock.now() + SECOND).await;
    source.has();
    assert!(source.ask(&mut watch));
    assert!(
        clock.now() - watch.earliest() <= 2 * TURN_EVERY,
        "{} at {}",
        watch.earliest(),
        clock.now()
    );
}

/// Found by rereading: a source that puts its reader off, as tokio's do once in a while, was taken for empty.
#[tokio::test(start_paused = true)]
async fn who_is_put_off_has_not_found_the_source_empty() {
    let (turns, clock) = (EventLoopClock::default(), Clock::start());
    let mut watch = ArrivalClock::new(clock.now(), clock, &turns);
    let (mut source, backlog) = (
        Source {
            has: false,
            waits: None,
        },
        watch.backlog(),
    );
    assert!(!source.ask(&mut watch));
    turns_to(&turns, clock, clock.now() + SECOND).await;
    source.has();
    let came = clock.now();
    pass(clock, came + 30 * MILLISECOND).await;
    let put_off = watch.poll(&mut Context::from_waker(Waker::noop()), |cx| {
        cx.waker().wake_by_ref();
        Poll::<()>::Pending
    });
    assert!(put_off.is_pending() && backlog.is_behind());
    pass(clock, came + 2 * SECOND).await;
    assert!(source.ask(&mut watch));
    assert!(watch.earliest() <= came, "{} for {came}", watch.earliest());
}

#[tokio::test(start_paused = true)]
async fn a_backlog_is_known_from_the_moment_the_machine_tells_of_it() {
    let (turns, clock) = (EventLoopClock::default(), Clock::start());
    let mut watch = ArrivalClock::new(clock.now(), clock, &turns);
    let (mut source, backlog) = (
        Source {
            has: false,
            waits: None,
        },
        watch.backlog(),
    );
    assert!(!source.ask(&mut watch) && !backlog.is_behind());
    source.has();
    assert!(backlog.is_behind(), "told of, not read");
    assert!(
        source.ask(&mut watch) && backlog.is_behind(),
        "read, not to its end"
    );
    source.has = false;
    assert!(!source.ask(&mut watch) && !backlog.is_behind());
    source.has();
    drop(watch);
    assert!(!backlog.is_behind(), "nobody reads any more");
}

/// Polls a reader once. Gives whether it has something.
async fn asks_once<S: AsyncRead + Unpin>(read: &mut ArrivalReader<S>) -> bool {
    let mut more = Box::pin(read.more());
    poll_fn(|cx| Poll::Ready(more.as_mut().poll(cx).is_ready())).await
}

/// A reader whose task has another reason to run, in the first turn after a stop, hears what the machine said before the
/// stop: nothing. That is no look.
#[test]
fn a_socket_that_is_asked_before_the_machine_is_was_not_found_empty() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(async {
        let (clock, turns) = (Clock::start(), EventLoopClock::default());
        let any = crate::Address::Tcp("127.0.0.1:0".into());
        let (mut door, at) = crate::Network::listen(&crate::SocketNetwork, &any)
            .await
            .unwrap();
        let crate::Address::Tcp(at) = at else {
            unreachable!("it listens on TCP")
        };
        let mut peer = std::net::TcpStream::connect(at).unwrap();
        let mut read = ArrivalReader::new(door.accept().await.unwrap(), clock, turns.clone());
        for _ in 0..4 {
            assert!(!asks_once(&mut read).await);
            turns.turn(clock.now());
            clock.sleep_until(clock.now() + TURN_EVERY).await;
        }
        let written = clock.now();
        std::io::Write::write_all(&mut peer, b"x").unwrap();
        std::thread::sleep(std::time::Duration::from_millis(300));
        assert!(!asks_once(&mut read).await, "the machine was not asked yet");
        turns.turn(clock.now());
        let came = read.more().await.unwrap().unwrap();
        assert!(
            came <= written,
            "it came {} ms late",
            (came - written) / MILLISECOND
        );
    });
}
