//! The endpoint list when connections to the feed break or its address changes.

use super::support::*;
use saltdrum::interface::*;
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Feed, FeedFault, endpoint_record};
use saltdrum_platform_wire::feed::Event;
use tokio::task::spawn_local;

#[test]
fn reaches_same_list_over_broken_feed_connections() {
    for torn in [
        FeedFault::None,
        FeedFault::Truncated,
        FeedFault::SentTwice,
        FeedFault::Stalled,
        FeedFault::InvalidLength,
    ] {
        run_test(|| async move {
            let mut controller = TestController::new(dispatch_policy, &[1], 256).await;
            controller.start_invoker(2, invoker_address(2));
            sleep_ms(1_500).await;
            controller.feed.fault.set(torn);
            let draining = endpoint_record(1, invoker_address(1), InvokerStatus::Draining, None);
            let ready = endpoint_record(2, invoker_address(2), InvokerStatus::Ready, LONG_PAST_MS);
            controller.feed.publish(2, Event::Changes(vec![draining]));
            controller.feed.publish(3, Event::Changes(vec![ready]));
            sleep_ms(3_500).await;
            let requested_events = controller.feed.resume_points.borrow().clone();
            let has_reconnected = !matches!(torn, FeedFault::None | FeedFault::SentTwice);
            assert_eq!(
                requested_events,
                if has_reconnected { vec![1, 1] } else { vec![1] },
                "{torn:?}"
            );
            let mut client = controller.connect_client().await;
            client.invoke(&controller.new_call("look")).await;
            expect_response(&mut client).await;
            assert!(
                controller.invokers[&1].requests.borrow().is_empty(),
                "{torn:?}: it is draining"
            );
            assert!(
                !controller.invokers[&2].requests.borrow().is_empty(),
                "{torn:?}: it is ready"
            );
        });
    }
}

#[test]
fn follows_feed_to_address_of_reloaded_configuration() {
    run_test(|| async {
        let mut controller = TestController::new(dispatch_policy, &[1], 256).await;
        controller.start_invoker(2, invoker_address(2));
        let moved = Feed::new(CONTROLLER, controller.record.clone(), controller.clock);
        spawn_local(
            moved
                .clone()
                .serve(controller.network.clone(), feed_address(2)),
        );
        controller.feed.publish(2, Event::Heartbeat);
        controller.handle.config.feed.set_address(feed_address(2));
        moved.publish(
            2,
            Event::Changes(vec![endpoint_record(
                1,
                invoker_address(1),
                InvokerStatus::Gone,
                None,
            )]),
        );
        moved.publish(
            3,
            Event::Changes(vec![endpoint_record(
                2,
                invoker_address(2),
                InvokerStatus::Ready,
                LONG_PAST_MS,
            )]),
        );
        sleep_ms(600).await;
        assert_eq!(*moved.resume_points.borrow(), [1]);
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        expect_response(&mut client).await;
        assert!(!controller.invokers[&2].requests.borrow().is_empty());
    });
}

#[test]
fn new_invoker_on_reused_address_gets_new_connection() {
    run_test(|| async {
        let controller = TestController::new(dispatch_policy, &[1], 256).await;
        let mut client = controller.connect_client().await;
        client.invoke(&controller.new_call("look")).await;
        expect_response(&mut client).await;
        let before = controller.invokers[&1].accepted.get();
        controller.feed.publish(
            2,
            Event::Changes(vec![endpoint_record(
                1,
                invoker_address(1),
                InvokerStatus::Gone,
                None,
            )]),
        );
        controller.feed.publish(
            3,
            Event::Changes(vec![endpoint_record(
                7,
                invoker_address(1),
                InvokerStatus::Ready,
                LONG_PAST_MS,
            )]),
        );
        sleep_ms(50).await;
        assert_eq!(
            controller.invokers[&1].connections.get(),
            0,
            "connections of the old id are closed"
        );
        client.invoke(&controller.new_call("look")).await;
        expect_response(&mut client).await;
        assert!(controller.invokers[&1].accepted.get() > before);
    });
}
