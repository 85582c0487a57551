use super::*;
use std::cell::Cell;
use tokio::io::AsyncReadExt;

/// With a peer that does not read, a partially written frame is still completed, while the frames behind it can be withdrawn.
#[tokio::test(flavor = "current_thread")]
async fn frames_behind_a_stalled_stream_are_withdrawn_when_they_expire() {
    let (mut near_end, mut far_end) = tokio::io::duplex(10);
    let (queue, now, reported_as_withdrawn) = (
        SendQueue::new(1_000),
        Cell::new(0),
        RefCell::new(Vec::new()),
    );
    for expires_at in [100, 50, 100] {
        queue
            .push(Bytes::from(vec![expires_at as u8; 6]), expires_at)
            .unwrap();
    }
    {
        let on_withdrawn = |ticket| reported_as_withdrawn.borrow_mut().push(ticket);
        let write = queue.write_to(&mut near_end, || now.get(), on_withdrawn);
        let checks = async {
            tokio::task::yield_now().await;
            assert!(queue.is_sent(1) && !queue.is_sent(2));
            queue.push(Bytes::from(vec![1; 6]), 60).unwrap();
            now.set(70);
            assert_eq!(
                queue.withdraw(70, |ticket| ticket == 3),
                [3, 4],
                "the first is sent, the second partially sent"
            );
            let mut received = vec![0; 12];
            far_end.read_exact(&mut received).await.unwrap();
            assert_eq!(received, [[100; 6], [50; 6]].concat());
            tokio::task::yield_now().await;
            assert!(queue.is_sent(2));
            queue.push(Bytes::from(vec![9; 6]), 60).unwrap();
            tokio::task::yield_now().await;
            queue.close();
        };
        assert!(tokio::join!(write, checks).0.is_ok());
    }
    assert_eq!(*reported_as_withdrawn.borrow(), [5]);
}

#[test]
fn rejects_frames_beyond_the_byte_limit() {
    let queue = SendQueue::new(10);
    assert!(queue.push(Bytes::from_static(&[0; 8]), 9).is_some());
    assert_eq!(queue.push(Bytes::from_static(&[0; 3]), 9), None);
    queue.close();
    assert_eq!(queue.push(Bytes::new(), 9), None);
}

/// Guards against frames whose memory is not counted: small frames take far more than their bytes.
#[tokio::test(flavor = "current_thread")]
async fn memory_of_frames_is_counted_until_they_are_sent() {
    let (mut near_end, mut far_end) = tokio::io::duplex(10);
    let shared_memory = Rc::<Cell<usize>>::default();
    let queue = SendQueue::counted_in(1_000, shared_memory.clone());
    for _ in 0..3 {
        queue.push(Bytes::from_static(&[7; 6]), 100).unwrap();
    }
    let frame_bytes = 6 + FRAME_OVERHEAD_BYTES;
    assert_eq!(shared_memory.get(), 3 * frame_bytes);
    {
        let write = queue.write_to(&mut near_end, || 0, |_| ());
        let checks = async {
            tokio::task::yield_now().await;
            // The second frame is sent in part.
            assert_eq!(shared_memory.get(), 2 * frame_bytes);
            let mut received = [0; 18];
            far_end.read_exact(&mut received).await.unwrap();
            tokio::task::yield_now().await;
            assert_eq!((shared_memory.get(), queue.memory_bytes()), (0, 0));
            queue.push(Bytes::from_static(&[7; 6]), 100).unwrap();
            tokio::task::yield_now().await;
            queue.push(Bytes::from_static(&[7; 6]), 100).unwrap();
            tokio::task::yield_now().await;
            queue.close();
        };
        tokio::select! {
            _ = write => {}
            () = checks => {}
        }
    }
    drop(queue);
    assert_eq!(shared_memory.get(), 0);
}
