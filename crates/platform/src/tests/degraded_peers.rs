//! Trouble at invokers, or with other clients, frees no request of its final answer in its time. In virtual time.

use crate::tests::support::{Stage, answer, pass, staged};
use saltdrum_controller::dispatch_policy;
use saltdrum_fakes::platform::{Call, FrameClient, Heard, Spoilt};
use saltdrum_platform_wire::frames::{self, Code};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

const LIMIT_MS: u64 = 2_000;
const EACH_CLIENT_ASKS: usize = 20;

/// One client that asks all it has, and then hears as many answers.
async fn asks_and_hears(mut client: FrameClient, calls: Vec<Call>) -> Result<(), String> {
    let asked = calls.len();
    for pair in calls.chunks(2) {
        for call in pair {
            client.ask(call).await;
        }
        pass(20).await;
    }
    for n in 0..asked {
        let heard =
            tokio::time::timeout(Duration::from_millis(LIMIT_MS + 100), answer(&mut client)).await;
        heard.map_err(|_| format!("{n} of {asked} are answered"))?;
    }
    Ok(())
}

/// Four clients that ask side by side: each is answered once, within its time, as the judge sees it too.
async fn all_are_answered_in_time(stage: &Stage, trouble: &str) {
    let mut clients = Vec::new();
    for _ in 0..4 {
        let call = |n: usize| Call {
            limit_ms: LIMIT_MS,
            ..stage.call(if n.is_multiple_of(2) { "look" } else { "book" })
        };
        let calls = (0..2 * EACH_CLIENT_ASKS).map(call).collect();
        clients.push(spawn_local(asks_and_hears(stage.client().await, calls)));
    }
    for client in clients {
        assert_eq!(client.await.unwrap(), Ok(()), "{trouble}");
    }
    assert_eq!(stage.broken(), [0u8; 0], "{trouble}");
}

#[test]
fn answers_all_in_time_with_faulty_invokers() {
    use Spoilt as S;
    for spoilt in [
        S::Silent,
        S::Full,
        S::Errored,
        S::Miss,
        S::Over,
        S::ClosedUnread,
        S::ResetAfterReading,
    ] {
        staged(|| async move {
            let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
            stage.invokers.values().for_each(|i| i.spoilt.set(spoilt));
            all_are_answered_in_time(&stage, &format!("{spoilt:?}")).await;
        });
    }
}

/// No connection to an invoker can be made: all descriptors of its part are used by requests that nobody answers.
#[test]
fn answers_all_in_time_without_free_descriptors() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 32).await;
        stage
            .invokers
            .values()
            .for_each(|i| i.spoilt.set(Spoilt::Silent));
        all_are_answered_in_time(&stage, "no descriptor").await;
    });
}

/// One client asks without end and one never reads what it is told; a third is served as ever.
#[test]
fn flooding_and_stalled_clients_affect_nobody_else() {
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1, 2], 256).await;
        let (mut floods, mut never_reads) = (stage.client().await, stage.client().await);
        let flood = spawn_local(async move {
            for n in 1..20_000u32 {
                let frame = if n % 2 == 0 {
                    frames::encode_empty(32, n)
                } else {
                    frames::encode_empty(18, n)
                };
                if floods.stream.write_all(&frame).await.is_err() {
                    return;
                }
                while let Ok(Some(Heard::Ready { .. })) =
                    tokio::time::timeout(Duration::ZERO, floods.hear()).await
                {}
            }
        });
        let unread = spawn_local(async move {
            for n in 1..20_000u32 {
                if never_reads
                    .stream
                    .write_all(&frames::encode_empty(32, n))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            pass(60_000).await;
        });
        let mut usual = stage.client().await;
        for _ in 0..30 {
            usual.ask(&stage.call("book")).await;
            let heard =
                tokio::time::timeout(Duration::from_millis(LIMIT_MS), answer(&mut usual)).await;
            assert_eq!(
                heard.expect("an answer in time").code,
                Code::Succeeded as u8
            );
            pass(10).await;
        }
        flood.abort();
        unread.abort();
        assert_eq!(stage.broken(), [0u8; 0]);
    });
}

/// Found on a short day of the fleet bench (crowd): each of a crowd of idle clients took 10 ms at the door, so that who came
/// behind them waited for seconds.
#[test]
fn serves_new_client_behind_many_idle_clients() {
    const CROWD: usize = 400;
    staged(|| async {
        let stage = Stage::new(dispatch_policy, &[1], 64).await;
        let mut crowd = Vec::new();
        for _ in 0..CROWD {
            let mut idle = stage.client().await;
            idle.stream
                .write_all(&frames::encode_empty(32, 1))
                .await
                .unwrap();
            crowd.push(idle);
        }
        let began = stage.clock.now();
        let mut client = stage.client().await;
        client
            .ask(&Call {
                limit_ms: LIMIT_MS,
                ..stage.call("look")
            })
            .await;
        assert_eq!(answer(&mut client).await.code, Code::Succeeded as u8);
        let took_ms = (stage.clock.now() - began) / saltdrum::interface::MILLISECOND;
        assert!(took_ms < 1_000, "{took_ms} ms behind a crowd of {CROWD}");
    });
}
