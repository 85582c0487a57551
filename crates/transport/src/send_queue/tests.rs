use super::*;
use std::cell::Cell;
use tokio::io::AsyncReadExt;

/// A peer that reads nothing: what has begun goes on, what waits behind it can still be withdrawn.
#[tokio::test(flavor = "current_thread")]
async fn frames_behind_a_stalled_stream_are_withdrawn_when_they_expire() {
    let (mut here, mut there) = tokio::io::duplex(10);
    let (queue, now, gone) = (
        SendQueue::new(1_000),
        Cell::new(0),
        RefCell::new(Vec::new()),
    );
    for until in [100, 50, 100] {
        queue
            .push(Bytes::from(vec![until as u8; 6]), until)
            .unwrap();
    }
    {
        let write = queue.write_to(&mut here, || now.get(), |t| gone.borrow_mut().push(t));
        let meanwhile = async {
            tokio::task::yield_now().await;
            assert!(queue.is_sent(1) && !queue.is_sent(2));
            queue.push(Bytes::from(vec![1; 6]), 60).unwrap();
            now.set(70);
            assert_eq!(
                queue.withdraw(70, |t| t == 3),
                [3, 4],
                "the second has begun, the first is gone"
            );
            let mut read = vec![0; 12];
            there.read_exact(&mut read).await.unwrap();
            assert_eq!(read, [[100; 6], [50; 6]].concat());
            tokio::task::yield_now().await;
            assert!(queue.is_sent(2));
            queue.push(Bytes::from(vec![9; 6]), 60).unwrap();
            tokio::task::yield_now().await;
            queue.close();
        };
        assert!(tokio::join!(write, meanwhile).0.is_ok());
    }
    assert_eq!(*gone.borrow(), [5]);
}

#[test]
fn rejects_frames_beyond_the_byte_limit() {
    let queue = SendQueue::new(10);
    assert!(queue.push(Bytes::from_static(&[0; 8]), 9).is_some());
    assert_eq!(queue.push(Bytes::from_static(&[0; 3]), 9), None);
    queue.close();
    assert_eq!(queue.push(Bytes::new(), 9), None);
}
