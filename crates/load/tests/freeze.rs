//! A server that freezes is visible in the measured latencies, and a generator that freezes invalidates its run.

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

/// A server that responds to each request 5 ms after reading it.
async fn echo_server(network: Rc<dyn Network>, at: Address) {
    let (mut listener, _) = network.listen(&at).await.unwrap();
    let serving = LocalSet::new();
    let accepting = async {
        while let Ok(stream) = listener.accept().await {
            tokio::task::spawn_local(async move {
                let (input, output) = split(stream);
                let mut lines = BufReader::new(input).lines();
                while let Ok(Some(line)) = lines.next_line().await {
                    let request: serde_json::Value = serde_json::from_str(&line).unwrap();
                    let mut output = output.clone();
                    tokio::task::spawn_local(async move {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        let reply = format!(
                            "{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":true}}\n",
                            request["id"]
                        );
                        let _ = output.write_all(reply.as_bytes()).await;
                    });
                }
            });
        }
    };
    serving.run_until(accepting).await;
}

/// Sends 200 invocations per second for 10 s. The server or the generator freezes for 2 s after the first 4 s. Returns
/// the run and the time of the freeze.
fn run_load(server_freezes: bool, generator_freezes: bool) -> (LoadRun, Ticks) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let clock = Clock::start();
        let network = SimulatedNetwork::new(
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
        let at = Address::Memory("server".into());
        let (server_pause, generator_pause) = (ProcessPause::default(), ProcessPause::default());
        let serving = echo_server(network.host("server"), at.clone());
        tokio::task::spawn_local(pausable(server_pause.clone(), serving));
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
        let retry_policy = RetryPolicy {
            retries: 0,
            backoff: 1_000,
        };
        let (begin, controllers) = (clock.now(), [at]);
        let generator_tasks = LocalSet::new();
        let sending = send_load(
            network.host("load"),
            clock,
            Rc::new(terms),
            &controllers,
            2,
            retry_policy,
            entries,
        );
        let freezing = async {
            tokio::time::sleep(Duration::from_secs(4)).await;
            if server_freezes {
                server_pause.pause_for(Duration::from_secs(2));
            }
            if generator_freezes {
                generator_pause.pause_for(Duration::from_secs(2));
            }
        };
        let running = pausable(generator_pause.clone(), async {
            generator_tasks.run_until(sending).await
        });
        let (run, ()) = tokio::join!(running, freezing);
        (run, begin + 4 * SECOND)
    })
}

#[test]
fn frozen_server_delays_every_invocation_that_arrives_meanwhile() {
    let (run, frozen) = run_load(true, false);
    assert!(
        run.outcomes.len() > 1_800
            && run
                .outcomes
                .iter()
                .all(|o| o.result == AttemptOutcome::Succeeded)
    );
    let thawed = frozen + 2 * SECOND;
    let mut during = 0;
    for outcome in &run.outcomes {
        if (frozen..thawed).contains(&outcome.intended) {
            during += 1;
            assert!(
                outcome.latency() >= thawed - outcome.intended,
                "{outcome:?}"
            );
        } else if outcome.intended >= thawed {
            assert!(outcome.latency() <= 200, "{outcome:?}");
        }
    }
    assert!(during > 300, "{during}");
    assert_eq!(
        run.lag.verdict(),
        Verdict::Valid,
        "the generator was not stalled: {:?}",
        run.lag
    );
    let mut latencies = Latencies::default();
    run.outcomes
        .iter()
        .for_each(|o| latencies.record(o.latency()));
    assert!(
        latencies.quantile_ms(0.5) < 15.0 && latencies.quantile_ms(0.9) > 900.0,
        "{} {}",
        latencies.quantile_ms(0.5),
        latencies.quantile_ms(0.9)
    );
}

#[test]
fn frozen_generator_reports_an_invalid_run() {
    let (punctual_run, _) = run_load(false, false);
    assert_eq!(
        punctual_run.lag.verdict(),
        Verdict::Valid,
        "{:?}",
        punctual_run.lag
    );
    let (late_run, frozen) = run_load(false, true);
    assert!(
        matches!(late_run.lag.verdict(), Verdict::GeneratorFellBehind(_)),
        "{:?}",
        late_run.lag
    );
    // Latency still counts from the scheduled time, so the freeze is visible in it.
    let late = late_run
        .outcomes
        .iter()
        .filter(|o| (frozen..frozen + 2 * SECOND).contains(&o.intended));
    assert!(late.clone().count() > 300 && late.clone().all(|o| o.finished >= frozen + 2 * SECOND));
}
