//! A system that stands still can't hide it, and a generator that does is found out.

use saltdrum::interface::{SECOND, Ticks};
use saltdrum_deployment::DeploymentSpec;
use saltdrum_load::retry::{AttemptOutcome, RetryPolicy};
use saltdrum_load::{
    Latencies, LoadRun, Shape, TraceEntry, Verdict, send_load, shape::draw_arrivals,
};
use saltdrum_simulated_network::{Link, Links, ProcessPause, SimulatedNetwork, pausable};
use saltdrum_transport::{Address, Clock, EventLoopClock, Network, split};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::task::LocalSet;

const TERMS: &str = r#"
deployment(controllers = 1, keep_alive = "9s", cold_share = 0.2, cold_time = "8s", tip_factor = 2.5,
    tip_window = "1.5s", drain_grace = "250ms")
machine("big", memory = "42GB", cores = 4)
trigger_type("narrate", objective = "1s", client_timeout = "9s")
tenant("hill", quota_per_s = 900)
function("voice", trigger = "narrate", memory = "1GB", lanes = 8)
"#;

/// Answers each call 5 ms after it has read it, the whole of it held still now and then.
async fn box_of_echoes(network: Rc<dyn Network>, at: Address) {
    let (mut door, _) = network.listen(&at).await.unwrap();
    let serving = LocalSet::new();
    let accepting = async {
        while let Ok(stream) = door.accept().await {
            tokio::task::spawn_local(async move {
                let (input, output) = split(stream);
                let mut lines = BufReader::new(input).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let call: serde_json::Value = serde_json::from_str(&line).unwrap();
                    let mut output = output.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        let reply = format!(
                            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":true}}\n",
                            call["id"]
                        );
                        let _ = output.write_all(reply.as_bytes()).await;
                    });
                }
            });
        }
    };
    serving.run_until(accepting).await;
}

/// 10 s at 200 a second, with the box or the generator held still for 2 s from the fourth second on.
fn played(box_stops: bool, generator_stops: bool) -> (LoadRun, Ticks) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let clock = Clock::start();
        let ether = SimulatedNetwork::new(
            clock,
            Links::new(
                Link {
                    delay: 10,
                    jitter: 0,
                },
                0.0,
                1,
            ),
            EventLoopClock::default(),
        );
        let at = Address::Memory("box".into());
        let (box_hold, generator_hold) = (ProcessPause::default(), ProcessPause::default());
        let serving = box_of_echoes(ether.host("box"), at.clone());
        tokio::task::spawn_local(pausable(box_hold.clone(), serving));
        tokio::time::sleep(Duration::from_millis(10)).await;
        let mut rng = fastrand::Rng::with_seed(4);
        let entry = |at| TraceEntry {
            at,
            tenant: "hill".into(),
            function: "voice".into(),
            work: 10,
            source: String::new(),
        };
        let entries = draw_arrivals(Shape::Steady, 200.0, 0, 10 * SECOND, &mut rng)
            .into_iter()
            .map(entry)
            .collect();
        let (terms, _) = DeploymentSpec::load("terms.star", TERMS).unwrap();
        let patience = RetryPolicy {
            retries: 0,
            backoff: 1_000,
        };
        let (begin, doors) = (clock.now(), [at]);
        let driving = LocalSet::new();
        let driven = send_load(
            ether.host("load"),
            clock,
            Rc::new(terms),
            &doors,
            2,
            patience,
            entries,
        );
        let stopping = async {
            tokio::time::sleep(Duration::from_secs(4)).await;
            if box_stops {
                box_hold.pause_for(Duration::from_secs(2));
            }
            if generator_stops {
                generator_hold.pause_for(Duration::from_secs(2));
            }
        };
        let running = pausable(generator_hold.clone(), async {
            driving.run_until(driven).await
        });
        let (played, ()) = tokio::join!(running, stopping);
        (played, begin + 4 * SECOND)
    })
}

#[test]
fn a_box_that_freezes_shows_it_in_every_invocation_that_arrived_meanwhile() {
    let (played, frozen) = played(true, false);
    assert!(
        played.outcomes.len() > 1_800
            && played
                .outcomes
                .iter()
                .all(|o| o.result == AttemptOutcome::Succeeded)
    );
    let thawed = frozen + 2 * SECOND;
    let mut during = 0;
    for o in &played.outcomes {
        if (frozen..thawed).contains(&o.intended) {
            during += 1;
            assert!(o.latency() >= thawed - o.intended, "{o:?}");
        } else if o.intended >= thawed {
            assert!(o.latency() <= 200, "{o:?}");
        }
    }
    assert!(during > 300, "{during}");
    assert_eq!(
        played.lag.verdict(),
        Verdict::Valid,
        "the generator went on: {:?}",
        played.lag
    );
    let mut all = Latencies::default();
    played.outcomes.iter().for_each(|o| all.record(o.latency()));
    assert!(
        all.quantile_ms(0.5) < 15.0 && all.quantile_ms(0.9) > 900.0,
        "{} {}",
        all.quantile_ms(0.5),
        all.quantile_ms(0.9)
    );
}

#[test]
fn a_generator_that_stops_says_that_its_run_does_not_count() {
    let (still, _) = played(false, false);
    assert_eq!(still.lag.verdict(), Verdict::Valid, "{:?}", still.lag);
    let (bent, frozen) = played(false, true);
    assert!(
        matches!(bent.lag.verdict(), Verdict::GeneratorFellBehind(_)),
        "{:?}",
        bent.lag
    );
    // Even so nothing is hidden: the time counts from when each was meant.
    let late = bent
        .outcomes
        .iter()
        .filter(|o| (frozen..frozen + 2 * SECOND).contains(&o.intended));
    assert!(late.clone().count() > 300 && late.clone().all(|o| o.finished >= frozen + 2 * SECOND));
}
