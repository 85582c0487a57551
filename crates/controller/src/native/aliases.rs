//! AliasResolver of the registry as this controller knows them: versions are fixed here, before the policy sees an invocation.

use crate::native::server::ControllerHandle;
use saltdrum::interface::{FunctionId, MILLISECOND, Ticks};
use saltdrum_registry::book::Book;
use saltdrum_registry::call::Caller;
use saltdrum_registry::follow::{Following, Heard, follow};
use saltdrum_registry::passage::{
    Fixed, Passages, Said, Staged, Unfixed, function_id, function_name, offered,
};
use saltdrum_registry::stage::Tally;
use serde_json::json;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tracing::{debug, info, warn};

/// Where the registry is, and how long a passage lasts.
#[derive(Clone, Debug)]
pub struct AliasConfig {
    pub following: Following,
    pub passage: Ticks,
    /// Milliseconds since 1970 when the controller's clock reads 0. Controllers' hours have to agree within a passage's
    /// length; where they do not, passages end early, and never with another version.
    pub epoch_ms: u64,
}

/// Stages that are counted at a time.
const STAGES_MOST: usize = 256;
const TELL_EVERY: Duration = Duration::from_secs(1);
const TOLD_WITHIN: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Counted {
    tally: Tally,
    told: Tally,
}

pub(crate) struct AliasResolver {
    book: Book,
    passages: Passages,
    epoch_ms: u64,
    heard: Option<Ticks>,
    refused: Option<String>,
    stages: BTreeMap<Staged, Counted>,
}

/// What an invocation runs, for the wire and the policy.
pub(crate) struct Runs {
    pub function: FunctionId,
    pub name: String,
    pub memory: f64,
    pub lanes: f64,
    pub fixed: Fixed,
}

impl AliasResolver {
    pub fn new(at: &AliasConfig) -> Self {
        Self {
            book: Book::default(),
            passages: Passages::new(at.passage / MILLISECOND),
            epoch_ms: at.epoch_ms,
            heard: None,
            refused: None,
            stages: BTreeMap::new(),
        }
    }

    pub fn fix(
        &mut self,
        now: Ticks,
        tenant: &str,
        trigger: &str,
        name: &str,
        said: &Said,
    ) -> Result<Runs, Unfixed> {
        let fixed = self.passages.fix(
            &self.book,
            self.epoch_ms + now / MILLISECOND,
            tenant,
            name,
            said,
        )?;
        let told = function_name(&fixed.model, &fixed.version);
        let Some(version) = offered(&self.book, &fixed) else {
            return Err(Unfixed::Unknown(told));
        };
        if !version.trigger_types.iter().any(|t| t == trigger) {
            return Err(Unfixed::Unknown(format!("{told} for trigger '{trigger}'")));
        }
        Ok(Runs {
            function: function_id(&fixed.model, &fixed.version),
            name: told,
            memory: version.memory_mb as f64,
            lanes: f64::from(version.lanes),
            fixed,
        })
    }

    /// The end of a dispatch on one side of a stage.
    pub fn count(&mut self, staged: &Staged, well: bool) {
        let key = Staged {
            new: true,
            ..staged.clone()
        };
        if self.stages.len() >= STAGES_MOST && !self.stages.contains_key(&key) {
            return;
        }
        let tally = &mut self.stages.entry(key).or_default().tally;
        let count = match (staged.new, well) {
            (true, true) => &mut tally.new_well,
            (true, false) => &mut tally.new_erred,
            (false, true) => &mut tally.old_well,
            (false, false) => &mut tally.old_erred,
        };
        *count += 1;
    }

    fn hear(&mut self, now: Ticks, heard: Heard) {
        match heard {
            Heard::Book(head) => {
                debug!(revision = head.revision(), "names");
                self.book = head.book;
                self.refused = None;
                self.heard = Some(now);
                let book = &self.book;
                self.stages.retain(|s, _| {
                    let alias = book.alias(&s.space, &s.alias);
                    alias.is_some_and(|a| a.changed == s.changed && a.stage.is_some())
                });
            }
            Heard::Still => {
                self.refused = None;
                self.heard = Some(now);
            }
            Heard::Refused(why) => self.refused = Some(why),
        }
    }

    /// For the controller's status.
    pub fn told(&self, now: Ticks) -> serde_json::Value {
        json!({"revision": self.book.revision, "heard_ms_ago": self.heard.map(|at| now.saturating_sub(at) / MILLISECOND),
            "refused": self.refused, "passages": self.passages.remembered()})
    }
}

/// Follows the registry, and tells it how stages do, for as long as the controller lives.
pub(crate) async fn keep(handle: Rc<ControllerHandle>, at: AliasConfig) {
    let hearing = handle.clone();
    let hear = move |heard| {
        hearing.update(|state| {
            let now = state.invocations.now;
            if let Some(names) = &mut state.invocations.transport.aliases {
                names.hear(now, heard);
            }
        });
    };
    let seed = handle.config.seed ^ 0x4e61;
    let following = follow(at.following.clone(), handle.network.clone(), seed, hear);
    tokio::join!(following, tell_stages(&handle, &at.following));
}

async fn tell_stages(handle: &Rc<ControllerHandle>, of: &Following) {
    loop {
        tokio::time::sleep(TELL_EVERY).await;
        let news: Vec<(Staged, Tally)> = handle.update(|state| {
            let Some(names) = &mut state.invocations.transport.aliases else {
                return Vec::new();
            };
            let news = names.stages.iter().filter(|(_, c)| c.tally != c.told);
            news.map(|(s, c)| (s.clone(), c.tally)).collect()
        });
        if news.is_empty() {
            continue;
        }
        match tokio::time::timeout(TOLD_WITHIN, told(handle, of, &news)).await {
            Ok(Ok(())) => handle.update(|state| {
                let Some(names) = &mut state.invocations.transport.aliases else {
                    return;
                };
                for (stage, tally) in &news {
                    if let Some(counted) = names.stages.get_mut(stage) {
                        counted.told = *tally;
                    }
                }
            }),
            Ok(Err(why)) => warn!(
                why,
                "counts of a stage could not be told; they are told again"
            ),
            Err(_) => warn!("counts of a stage could not be told in time; they are told again"),
        }
    }
}

async fn told(
    handle: &Rc<ControllerHandle>,
    of: &Following,
    news: &[(Staged, Tally)],
) -> Result<(), String> {
    let dialled = Caller::dial(&handle.network, &of.registry, &of.key).await;
    let mut caller = dialled.map_err(|e| e.to_string())?;
    for (stage, tally) in news {
        let said = json!({
            "space": stage.space, "alias": stage.alias, "changed": stage.changed,
            "controller": handle.config.controller, "incarnation": handle.config.incarnation, "tally": tally,
        });
        let answer = caller
            .call("tally", said)
            .await
            .map_err(|e| e.to_string())?;
        if answer["over"] == json!(true) {
            info!(alias = %stage.alias, "the stage is over");
        }
    }
    Ok(())
}
