//! Follows the registry, and reports the results of staged rollouts to it.

use crate::native::aliases::AliasConfig;
use crate::native::state::ControllerHandle;
use saltdrum_registry::client::{ClientError, RegistryClient};
use saltdrum_registry::follow::{FollowConfig, follow};
use saltdrum_registry::rollout::Tally;
use saltdrum_registry::version_pin::StagedRollout;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit of one report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(5);
/// Mixed into the seed of the random reconnect delays.
const RECONNECT_SEED: u64 = 0x4e61;

/// Follows the registry and reports rollout results, for the lifetime of the controller.
pub(crate) async fn follow_registry(handle: Rc<ControllerHandle>, config: AliasConfig) {
    let updated_handle = handle.clone();
    let on_update = move |update| {
        updated_handle.update(|state| {
            let now = state.invocations.now;
            if let Some(aliases) = &mut state.invocations.transport.aliases {
                aliases.apply(now, update);
            }
        });
    };
    let seed = handle.config.seed ^ RECONNECT_SEED;
    let following = follow(
        config.registry.clone(),
        handle.network.clone(),
        seed,
        on_update,
    );
    tokio::join!(following, report_results(&handle, &config.registry));
}

async fn report_results(handle: &Rc<ControllerHandle>, registry: &FollowConfig) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let results = handle.update(|state| {
            let aliases = state.invocations.transport.aliases.as_ref();
            aliases.map_or_else(Vec::new, |aliases| aliases.unreported())
        });
        if results.is_empty() {
            continue;
        }
        match tokio::time::timeout(REPORT_TIMEOUT, send_results(handle, registry, &results)).await {
            Ok(Ok(())) => handle.update(|state| {
                if let Some(aliases) = &mut state.invocations.transport.aliases {
                    aliases.mark_reported(&results);
                }
            }),
            Ok(Err(error)) => warn!(%error, "reporting rollout results failed, retrying"),
            Err(_) => warn!("reporting rollout results timed out, retrying"),
        }
    }
}

async fn send_results(
    handle: &Rc<ControllerHandle>,
    registry: &FollowConfig,
    results: &[(StagedRollout, Tally)],
) -> Result<(), ClientError> {
    let mut client =
        RegistryClient::connect(&handle.network, &registry.registry, &registry.key).await?;
    for (rollout, tally) in results {
        let params = json!({
            "space": rollout.namespace,
            "alias": rollout.alias,
            "changed": rollout.alias_revision,
            "controller": handle.config.controller,
            "incarnation": handle.config.incarnation,
            "tally": tally,
        });
        let answer = client.call("tally", params).await?;
        if answer["over"] == json!(true) {
            info!(alias = %rollout.alias, "staged rollout is over");
        }
    }
    Ok(())
}
