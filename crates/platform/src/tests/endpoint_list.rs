//! The list of invokers over broken and moved feeds.

use super::support::*;
use saltdrum::interface::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Feed, Torn, listing};
use saltdrum_platform_wire::feed::Event;
use tokio::task::spawn_local;

#[test]
fn reaches_same_list_over_broken_feed_connections() {
    for torn in [
        Torn::No,
        Torn::Half,
        Torn::Twice,
        Torn::Stalls,
        Torn::Length,
    ] {
        staged(|| async move {
            let mut stage = Stage::new(dispatch_policy, &[1], 256).await;
            stage.invoker(2, invoker_at(2));
            pass(1_500).await;
            stage.feed.torn.set(torn);
            let one = listing(1, invoker_at(1), InvokerStatus::Draining, None);
            let two = listing(2, invoker_at(2), InvokerStatus::Ready, LONG_PAST_MS);
            stage.feed.say(2, Event::Changes(vec![one]));
            stage.feed.say(3, Event::Changes(vec![two]));
            pass(3_500).await;
            let asked = stage.feed.asked.borrow().clone();
            let again = !matches!(torn, Torn::No | Torn::Twice);
            assert_eq!(asked, if again { vec![1, 1] } else { vec![1] }, "{torn:?}");
            let mut client = stage.client().await;
            client.ask(&stage.call("look")).await;
            answer(&mut client).await;
            assert!(
                stage.invokers[&1].arrived.borrow().is_empty(),
                "{torn:?}: it drains"
            );
            assert!(
                !stage.invokers[&2].arrived.borrow().is_empty(),
                "{torn:?}: it is ready"
            );
        });
    }
}

#[test]
fn follows_feed_to_address_of_reloaded_configuration() {
    staged(|| async {
        let mut stage = Stage::new(dispatch_policy, &[1], 256).await;
        stage.invoker(2, invoker_at(2));
        let moved = Feed::new(WHO, stage.record.clone(), stage.clock);
        spawn_local(moved.clone().serve(stage.network.clone(), feed_at(2)));
        stage.feed.say(2, Event::Heartbeat);
        stage.handle.config.feed.moves(feed_at(2));
        moved.say(
            2,
            Event::Changes(vec![listing(1, invoker_at(1), InvokerStatus::Gone, None)]),
        );
        moved.say(
            3,
            Event::Changes(vec![listing(
                2,
                invoker_at(2),
                InvokerStatus::Ready,
                LONG_PAST_MS,
            )]),
        );
        pass(600).await;
        assert_eq!(*moved.asked.borrow(), [1]);
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert!(!stage.invokers[&2].arrived.borrow().is_empty());
    });
}

#[test]
fn new_invoker_on_reused_address_gets_new_connection() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 256).await;
        let mut client = stage.client().await;
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        let before = stage.invokers[&1].accepted.get();
        stage.feed.say(
            2,
            Event::Changes(vec![listing(1, invoker_at(1), InvokerStatus::Gone, None)]),
        );
        stage.feed.say(
            3,
            Event::Changes(vec![listing(
                7,
                invoker_at(1),
                InvokerStatus::Ready,
                LONG_PAST_MS,
            )]),
        );
        pass(50).await;
        assert_eq!(
            stage.invokers[&1].connections.get(),
            0,
            "those of the old id are closed"
        );
        client.ask(&stage.call("look")).await;
        answer(&mut client).await;
        assert!(stage.invokers[&1].accepted.get() > before);
    });
}
