use super::*;
use std::cell::Cell;
use tokio::io::AsyncReadExt;

/// A peer that reads nothing: what has begun goes on, what waits behind it can still be withdrawn.
#[tokio::test(flavor = "current_thread")]
async fn frames_behind_a_stuck_stream_are_withdrawn_when_their_time_is_over() {
    let (mut here, mut there) = tokio::io::duplex(10);
    let (outbox, now, gone) = (
        SendQueue::new(1_000),
        Cell::new(0),
        RefCell::new(Vec::new()),
    );
    for until in [100, 50, 100] {
        outbox
            .put(Bytes::from(vec![until as u8; 6]), until)
            .unwrap();
    }
    {
        let write = outbox.write_to(&mut here, || now.get(), |t| gone.borrow_mut().push(t));
        let meanwhile = async {
            tokio::task::yield_now().await;
            assert!(outbox.has_left(1) && !outbox.has_left(2));
            outbox.put(Bytes::from(vec![1; 6]), 60).unwrap();
            now.set(70);
            assert_eq!(
                outbox.withdraw(70, |t| t == 3),
                [3, 4],
                "the second has begun, the first is gone"
            );
            let mut read = vec![0; 12];
            there.read_exact(&mut read).await.unwrap();
            assert_eq!(read, [[100; 6], [50; 6]].concat());
            tokio::task::yield_now().await;
            assert!(outbox.has_left(2));
            outbox.put(Bytes::from(vec![9; 6]), 60).unwrap();
            tokio::task::yield_now().await;
            outbox.close();
        };
        assert!(tokio::join!(write, meanwhile).0.is_ok());
    }
    assert_eq!(*gone.borrow(), [5]);
}

#[test]
fn no_more_waits_than_is_allowed() {
    let outbox = SendQueue::new(10);
    assert!(outbox.put(Bytes::from_static(&[0; 8]), 9).is_some());
    assert_eq!(outbox.put(Bytes::from_static(&[0; 3]), 9), None);
    outbox.close();
    assert_eq!(outbox.put(Bytes::new(), 9), None);
}
