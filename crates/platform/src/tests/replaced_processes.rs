//! A new process at the address of one that has gone must not be taken for it. Uses loopback sockets, as in `races`: the
//! test plays whichever process listens at the one address.

use super::socket_support::*;
use crate::endpoint_watch::handle_event;
use saltdrum::interface::*;
use saltdrum_fakes::platform::endpoint_record;
use saltdrum_platform_wire::feed::{EndpointRecord, Event};
use saltdrum_platform_wire::frames::Code;
use std::net::SocketAddr;

/// The invoker to which the test's policy sends everything, and one that is listed later.
const OLD_INVOKER: u32 = 1;
const NEW_INVOKER: u32 = 2;
/// The start of a process, in Unix milliseconds, later than that of the first.
const NEW_START_MS: Option<u64> = Some(super::support::UNIX_MS);

/// How the list tells that another process is at the address.
#[derive(Clone, Copy, Debug)]
enum News {
    /// The old invoker has gone, and a new one has its address.
    GoneAndNew,
    /// A new invoker has the address of the old one, which is still listed.
    NewAtSameAddress,
    /// The invoker has started again.
    Restarted,
}

impl News {
    fn event(self, controller: &TestController) -> Event {
        let record = |invoker, status, started_ms| -> EndpointRecord {
            let SocketAddr::V4(address) = controller.invoker.local_addr().unwrap() else {
                panic!("IPv4 is expected")
            };
            endpoint_record(invoker, address, status, started_ms)
        };
        let new = record(NEW_INVOKER, InvokerStatus::Ready, NEW_START_MS);
        Event::Changes(match self {
            Self::GoneAndNew => vec![record(OLD_INVOKER, InvokerStatus::Gone, None), new],
            Self::NewAtSameAddress => vec![new],
            Self::Restarted => vec![record(OLD_INVOKER, InvokerStatus::Ready, NEW_START_MS)],
        })
    }
}

fn tell(controller: &TestController, news: News) {
    let handle = &controller.handle;
    handle_event(handle, handle.clock.now(), 2, &news.event(controller)).unwrap();
}

/// Guards against sending to a new process what was meant for the one before: a request that waited for its connection
/// went to whichever process had the address by then.
#[test]
fn request_that_waits_for_its_connection_is_not_sent_to_another_process() {
    for news in [News::GoneAndNew, News::NewAtSameAddress, News::Restarted] {
        run_test(|| async move {
            let controller = TestController::new().await;
            let mut client = controller.connect_active_client().await;
            let dials = controller.network.dial_count.get();
            controller.network.is_closed.set(true);
            client.write(&controller.new_call(2).0);
            wait_until(|| controller.network.dial_count.get() > dials).await;
            tell(&controller, news);
            controller.network.open();
            // The test's policy rejects what never ran.
            let code = client.receive_frame().await.2[0];
            assert_eq!(code, Code::Throttled as u8, "{news:?}");
            assert!(controller.received_nothing(), "{news:?}");
        });
    }
}

/// Guards against using a connection to a process for work that is meant for the next one.
#[test]
fn idle_connection_to_an_earlier_process_is_not_reused() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        client.write(&controller.new_call(2).0);
        let mut old_connection = controller.accept_connection().await;
        old_connection.receive_request().await;
        old_connection.write(&http_response("done"));
        assert_eq!(client.receive_frame().await.2[0], Code::Succeeded as u8);
        tokio::time::sleep(std::time::Duration::from_millis(
            super::support::CONNECTION_REUSABLE_MS,
        ))
        .await;
        tell(&controller, News::Restarted);
        let (call, txn) = controller.new_call(3);
        client.write(&call);
        let mut new_connection = controller.accept_connection().await;
        assert_eq!(new_connection.receive_request().await, txn);
        wait_until(|| {
            old_connection.read_available();
            old_connection.is_ended
        })
        .await;
        assert_eq!(old_connection.next_request(), None);
    });
}

/// Guards against dispatching to an invoker whose address another one has by now.
#[test]
fn nothing_is_sent_to_an_invoker_whose_address_another_one_has() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        tell(&controller, News::NewAtSameAddress);
        client.write(&controller.new_call(2).0);
        assert_eq!(client.receive_frame().await.2[0], Code::Throttled as u8);
        assert!(controller.received_nothing());
    });
}

/// Guards against an invoker that gets no work for good: it went while another one had its address, and came back.
#[test]
fn invoker_that_comes_back_to_its_address_gets_work_again() {
    run_test(|| async {
        let controller = TestController::new().await;
        let mut client = controller.connect_active_client().await;
        // A request in flight keeps the invoker's connections known after it has gone.
        client.write(&controller.new_call(2).0);
        let mut first = controller.accept_connection().await;
        first.receive_request().await;
        tell(&controller, News::NewAtSameAddress);
        let SocketAddr::V4(address) = controller.invoker.local_addr().unwrap() else {
            panic!("IPv4 is expected")
        };
        let record = |invoker, status| endpoint_record(invoker, address, status, None);
        let handle = &controller.handle;
        let gone = vec![
            record(OLD_INVOKER, InvokerStatus::Gone),
            record(NEW_INVOKER, InvokerStatus::Gone),
        ];
        let back = vec![record(OLD_INVOKER, InvokerStatus::Ready)];
        for (number, records) in [(3, gone), (4, back)] {
            handle_event(handle, handle.clock.now(), number, &Event::Changes(records)).unwrap();
        }
        let (call, txn) = controller.new_call(3);
        client.write(&call);
        let mut second = controller.accept_connection().await;
        assert_eq!(second.receive_request().await, txn);
    });
}
