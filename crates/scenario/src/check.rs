//! Judges the five rules by the records of clients, stand-ins and the endpoint list. Independent of the policy and the
//! controller.
//!
//! A rule is reported as broken only where the records prove it: a frame that was read late may have arrived early, so its
//! earliest possible arrival time counts. Where a thread stalled across the moment in question, the finding is "cannot tell",
//! never "kept".

use saltdrum::interface::{MILLISECOND, Ticks};
use saltdrum_fakes::record::{ClientAttempt, ControllerId, Line, Outcome, RuleParameters};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// A thread that stalled for longer than this around the moment in question makes a finding inconclusive.
pub const DISTURBED: Ticks = 40 * MILLISECOND;
/// Longest time between writing a line of the record and writing to the socket, on a thread that did not stall.
const MAX_WRITE_DELAY: Ticks = 20 * MILLISECOND;
/// Rule 4: tolerance for random variation, as a share of the bound.
const COLD_TOLERANCE_SHARE: f64 = 0.1;
/// Rule 4: additional tolerance, in mean invocations.
const COLD_TOLERANCE_INVOCATIONS: f64 = 2.0;

/// One violation of a rule, or one case that can't be decided.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Finding {
    pub at: Ticks,
    pub text: String,
}

/// Whether a rule was kept. `CannotTell` means that no violation is proven but some cases can't be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    Kept,
    CannotTell,
    Broken,
}

/// The verdict on one rule.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    pub rule: u8,
    pub name: &'static str,
    pub state: State,
    /// Number of cases that were checked.
    pub looked_at: usize,
    pub broken: Vec<Finding>,
    pub cannot_tell: Vec<Finding>,
}

#[derive(Clone, Debug, Default)]
struct AttemptRecord {
    sent: Ticks,
    who: Option<ControllerId>,
    trigger: String,
    timeout: Ticks,
    responses: Vec<(Ticks, Ticks, Outcome)>,
    hung_up: bool,
    connection_lost_at: Option<Ticks>,
    reads_slowly: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    at: Ticks,
    earliest: Ticks,
    invoker: u32,
    hop: u8,
    client_attempt: ClientAttempt,
    trigger: String,
    started_at: Option<Ticks>,
    /// When it ended, how, and whether the response was sent to the controller.
    ended: Option<(Ticks, String, bool)>,
    cancelled: bool,
}

/// When the endpoint list sent an entry to a controller, whether it was ready, and the life it stated.
type LifeUpdate = (Ticks, bool, String);
type Rule = fn(&Observations, &RuleParameters) -> Findings;

#[derive(Default)]
struct Observations {
    rule_parameters: Option<RuleParameters>,
    attempts: BTreeMap<ClientAttempt, AttemptRecord>,
    /// Dispatches of each invocation, in order of hops.
    dispatches: BTreeMap<(ControllerId, u32), Vec<Dispatch>>,
    /// Executions of each invocation's effect, without those that were dropped as duplicates.
    effects: BTreeMap<u64, Vec<(Ticks, u32, ClientAttempt)>>,
    load_orders: Vec<(Ticks, Ticks, u32, ControllerId, u64)>,
    life_updates: BTreeMap<(ControllerId, u32), Vec<LifeUpdate>>,
    invoker_lives: BTreeMap<u32, Vec<(Ticks, bool, bool)>>,
    killed_controllers: BTreeMap<ControllerId, Ticks>,
    stalls: Vec<(Ticks, Ticks, String)>,
    work_by_trigger: BTreeMap<String, (f64, f64)>,
}

impl Observations {
    fn from_record(lines: &[Line]) -> Self {
        let mut observations = Self::default();
        for line in lines {
            match line.clone() {
                Line::RuleParameters(parameters) => observations.rule_parameters = Some(parameters),
                Line::Sent {
                    at,
                    who,
                    of,
                    trigger,
                    timeout,
                    work,
                    ..
                } => {
                    let mean = observations
                        .work_by_trigger
                        .entry(trigger.clone())
                        .or_default();
                    *mean = (mean.0 + work as f64, mean.1 + 1.0);
                    let attempt = observations.attempts.entry(of).or_default();
                    (attempt.sent, attempt.who, attempt.trigger, attempt.timeout) =
                        (at, Some(who), trigger, timeout);
                }
                Line::Final {
                    at,
                    earliest,
                    of,
                    how,
                } => {
                    observations
                        .attempts
                        .entry(of)
                        .or_default()
                        .responses
                        .push((at, earliest, how));
                }
                Line::HungUp { of, .. } => {
                    observations.attempts.entry(of).or_default().hung_up = true
                }
                Line::ConnectionLost { at, of } => {
                    observations
                        .attempts
                        .entry(of)
                        .or_default()
                        .connection_lost_at = Some(at)
                }
                Line::ReadsSlowly { of, .. } => {
                    observations.attempts.entry(of).or_default().reads_slowly = true
                }
                Line::Dispatched {
                    at,
                    earliest,
                    invoker,
                    who,
                    invocation,
                    hop,
                    of,
                    trigger,
                } => {
                    observations
                        .dispatches
                        .entry((who, invocation))
                        .or_default()
                        .push(Dispatch {
                            at,
                            earliest,
                            invoker,
                            hop,
                            client_attempt: of,
                            trigger,
                            started_at: None,
                            ended: None,
                            cancelled: false,
                        });
                }
                Line::Started {
                    at,
                    invoker,
                    who,
                    invocation,
                    hop,
                    of,
                    repeat,
                    ..
                } => {
                    if let Some(dispatch) =
                        observations.find_dispatch(who, invocation, invoker, hop)
                    {
                        dispatch.started_at = Some(at);
                    }
                    if !repeat {
                        observations
                            .effects
                            .entry(of.number)
                            .or_default()
                            .push((at, invoker, of));
                    }
                }
                Line::Ended {
                    at,
                    invoker,
                    who,
                    invocation,
                    hop,
                    ended,
                    response_sent,
                    ..
                } => {
                    if let Some(dispatch) =
                        observations.find_dispatch(who, invocation, invoker, hop)
                    {
                        dispatch.ended = Some((at, ended, response_sent));
                    }
                }
                Line::Cancelled {
                    invoker,
                    who,
                    invocation,
                    hop,
                    ..
                } => {
                    if let Some(dispatch) =
                        observations.find_dispatch(who, invocation, invoker, hop)
                    {
                        dispatch.cancelled = true;
                    }
                }
                Line::LoadOrdered {
                    at,
                    earliest,
                    invoker,
                    who,
                    function,
                    count,
                } if count > 0 => {
                    observations
                        .load_orders
                        .push((at, earliest, invoker, who, function));
                }
                Line::EndpointSent {
                    at,
                    who,
                    invoker,
                    life,
                    ..
                } => {
                    observations
                        .life_updates
                        .entry((who, invoker))
                        .or_default()
                        .push((at, life == "ready", life));
                }
                Line::Invoker {
                    at,
                    invoker,
                    up,
                    cold,
                    ..
                } => {
                    observations
                        .invoker_lives
                        .entry(invoker)
                        .or_default()
                        .push((at, up, cold));
                }
                Line::Controller { at, who, up: false } => {
                    observations.killed_controllers.insert(who, at);
                }
                Line::ThreadStalled { at, until, thread } if until > at + DISTURBED => {
                    observations.stalls.push((at, until, thread));
                }
                _ => {}
            }
        }
        // A stuck invoker may read an earlier dispatch after a later one was read by another invoker.
        observations
            .dispatches
            .values_mut()
            .for_each(|all| all.sort_by_key(|dispatch| dispatch.hop));
        observations
    }

    fn find_dispatch(
        &mut self,
        who: ControllerId,
        invocation: u32,
        invoker: u32,
        hop: u8,
    ) -> Option<&mut Dispatch> {
        let all = self.dispatches.get_mut(&(who, invocation))?;
        all.iter_mut()
            .rev()
            .find(|d| d.invoker == invoker && d.hop == hop)
    }

    /// Whether the test driver's thread or this controller's stalled within the time span.
    fn overlaps_stall(&self, who: Option<ControllerId>, from: Ticks, to: Ticks) -> bool {
        let controller_thread = who.map(|w| format!("controller-{}", w.controller));
        self.stalls.iter().any(|(start, end, thread)| {
            *start <= to
                && *end >= from
                && (thread == "stage" || Some(thread) == controller_thread.as_ref())
        })
    }
}

#[derive(Default)]
struct Findings {
    looked_at: usize,
    broken: Vec<Finding>,
    cannot_tell: Vec<Finding>,
}

impl Findings {
    fn add(&mut self, certain: bool, at: Ticks, text: String) {
        if certain {
            &mut self.broken
        } else {
            &mut self.cannot_tell
        }
        .push(Finding { at, text });
    }
}

/// Judges all five rules. Returns an error if the record does not state the deployment.
pub fn check(lines: &[Line]) -> Result<Vec<Verdict>, String> {
    let observations = Observations::from_record(lines);
    let parameters = observations
        .rule_parameters
        .clone()
        .ok_or("the record does not state the deployment in its first line")?;
    let rules: [(&str, Rule); 5] = [
        ("one final answer in time", check_single_response),
        ("no double effect", check_no_double_effect),
        ("drains are kept", check_drains),
        ("cold invokers are not pushed over", check_cold_invokers),
        ("orders to load are rationed", check_load_budget),
    ];
    let judge = |(index, (name, rule)): (usize, &(&'static str, Rule))| {
        let findings = rule(&observations, &parameters);
        let state = match (findings.broken.is_empty(), findings.cannot_tell.is_empty()) {
            (false, _) => State::Broken,
            (true, false) => State::CannotTell,
            (true, true) => State::Kept,
        };
        let (broken, cannot_tell) = (findings.broken, findings.cannot_tell);
        Verdict {
            rule: index as u8 + 1,
            name,
            state,
            looked_at: findings.looked_at,
            broken,
            cannot_tell,
        }
    };
    Ok(rules.iter().enumerate().map(judge).collect())
}

/// Time after a client hung up during which its invocation may still be dispatched, as the operators require.
pub const HANG_UP_GRACE: Ticks = 100 * MILLISECOND;

/// Finds dispatches later than [`HANG_UP_GRACE`] after the client hung up, by their earliest possible arrival time. This
/// requirement of the platform's days is additional to the five rules.
pub fn dispatches_after_hang_up(lines: &[Line]) -> Vec<Finding> {
    let observations = Observations::from_record(lines);
    let mut found = Vec::new();
    for line in lines {
        let Line::HungUp { at: hung_up_at, of } = line else {
            continue;
        };
        let dispatches = observations
            .dispatches
            .values()
            .flatten()
            .filter(|d| d.client_attempt == *of);
        found.extend(
            dispatches
                .filter(|d| d.earliest > hung_up_at + HANG_UP_GRACE)
                .map(|d| Finding {
                    at: d.at,
                    text: format!(
                        "invocation {}.{} was sent on to {} {} ms after its client had left",
                        of.number,
                        of.attempt,
                        d.invoker,
                        to_ms(d.earliest - hung_up_at)
                    ),
                }),
        );
    }
    found
}

/// Finds responses whose output no invoker produced for that attempt.
pub fn mismatched_outputs(lines: &[Line]) -> Vec<Finding> {
    let mut produced = BTreeSet::new();
    let mut found = Vec::new();
    for line in lines {
        match line {
            Line::OutputProduced { of, output, .. } => {
                produced.insert((*of, output.as_str()));
            }
            Line::OutputReceived { at, of, output }
                if !produced.contains(&(*of, output.as_str())) =>
            {
                let text = format!(
                    "invocation {}.{} was answered '{output}', made for another",
                    of.number, of.attempt
                );
                found.push(Finding { at: *at, text });
            }
            _ => {}
        }
    }
    found
}

fn to_ms(t: Ticks) -> f64 {
    t as f64 / MILLISECOND as f64
}

fn check_single_response(observations: &Observations, _: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    for (of, attempt) in &observations.attempts {
        let Some(who) = attempt.who else { continue };
        findings.looked_at += 1;
        let name = format!(
            "invocation {}.{} at controller {}",
            of.number, of.attempt, who.controller
        );
        let deadline = attempt.sent + attempt.timeout;
        if attempt.responses.len() > 1 {
            let responses: Vec<String> = attempt
                .responses
                .iter()
                .map(|(at, _, how)| format!("{how:?} at {} ms", to_ms(*at)))
                .collect();
            findings.add(
                true,
                attempt.responses[1].0,
                format!("{name} got {}", responses.join(" and ")),
            );
        }
        let killed = observations
            .killed_controllers
            .get(&who)
            .is_some_and(|at| *at <= deadline + MAX_WRITE_DELAY);
        match attempt.responses.first() {
            // A late read by a slow reader proves nothing; an earliest possible arrival after the timeout is certain.
            Some((at, earliest, _)) if *earliest > deadline && !attempt.reads_slowly => {
                let certain = !observations.overlaps_stall(Some(who), attempt.sent, *at);
                findings.add(
                    certain,
                    *at,
                    format!(
                        "{name}, sent at {} ms, was answered {} ms after its client timeout",
                        to_ms(attempt.sent),
                        to_ms(earliest - deadline)
                    ),
                );
            }
            Some(_) => {}
            None if attempt.hung_up
                || attempt
                    .connection_lost_at
                    .is_some_and(|at| killed && at <= deadline + MAX_WRITE_DELAY)
                || killed => {}
            None => {
                let certain = !observations.overlaps_stall(
                    Some(who),
                    deadline.saturating_sub(attempt.timeout / 4 + DISTURBED),
                    deadline + DISTURBED,
                ) && !attempt.reads_slowly;
                let how = if attempt.connection_lost_at.is_some() {
                    "was cut off"
                } else {
                    "got no answer"
                };
                findings.add(
                    certain,
                    deadline,
                    format!(
                        "{name}, sent at {} ms with {} ms to go, {how}",
                        to_ms(attempt.sent),
                        to_ms(attempt.timeout)
                    ),
                );
            }
        }
    }
    findings
}

fn check_no_double_effect(observations: &Observations, parameters: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    let trigger = |name: &str| parameters.triggers.iter().find(|t| t.name == name);
    let invoker_info = |invoker: u32| parameters.places.iter().find(|p| p.invoker == invoker);
    for (of, attempt) in &observations.attempts {
        let Some(trigger_type) = trigger(&attempt.trigger).filter(|t| t.effect != "idempotent")
        else {
            continue;
        };
        findings.looked_at += 1;
        let runs = observations
            .effects
            .get(&of.number)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if of.attempt == 0 && runs.len() > 1 {
            let executions: Vec<String> = runs
                .iter()
                .map(|(at, invoker, of)| {
                    format!(
                        "invoker {invoker} at {} ms (try {})",
                        to_ms(*at),
                        of.attempt
                    )
                })
                .collect();
            findings.add(
                true,
                runs[1].0,
                format!(
                    "{} invocation {} took effect at {}",
                    trigger_type.effect,
                    of.number,
                    executions.join(" and ")
                ),
            );
        }
        let ran = runs.iter().find(|(.., by)| by == of);
        let throttled = attempt
            .responses
            .iter()
            .find(|(.., how)| *how == Outcome::Throttled);
        if let (Some((ran, invoker, _)), Some((at, ..))) = (ran, throttled)
            && (trigger_type.effect == "non-idempotent" || trigger_type.scope != "all")
        {
            let text = format!(
                "{} invocation {}.{} ran on invoker {invoker} at {} ms and was throttled",
                trigger_type.effect,
                of.number,
                of.attempt,
                to_ms(*ran)
            );
            findings.add(true, *at, text);
        }
    }
    for ((who, invocation), dispatches) in &observations.dispatches {
        for (i, later) in dispatches.iter().enumerate().skip(1) {
            findings.looked_at += 1;
            let Some(trigger_type) = trigger(&later.trigger) else {
                continue;
            };
            for earlier in &dispatches[..i] {
                let name = format!(
                    "invocation {}.{} (number {invocation} of controller {}): dispatch {} came to invoker {} at {} ms",
                    later.client_attempt.number,
                    later.client_attempt.attempt,
                    who.controller,
                    later.hop,
                    later.invoker,
                    to_ms(later.at)
                );
                let before = format!(
                    "dispatch {} had come to invoker {} at {} ms",
                    earlier.hop,
                    earlier.invoker,
                    to_ms(earlier.at)
                );
                let ended = earlier
                    .ended
                    .as_ref()
                    .filter(|(at, _, response_sent)| *response_sent && *at <= later.at);
                let never_ran = ended.is_some_and(|(_, how, _)| how == "full" || how == "miss");
                let certain = !observations.overlaps_stall(Some(*who), earlier.at, later.at);
                if !never_ran && trigger_type.effect == "non-idempotent" {
                    findings.add(
                        true,
                        later.at,
                        format!("non-idempotent {name}, though {before}"),
                    );
                }
                if !never_ran && trigger_type.effect == "tokened" {
                    let scope_group = |invoker: u32| {
                        invoker_info(invoker).map(|p| match trigger_type.scope.as_str() {
                            "all" => (0, 0),
                            "zone" => (p.zone, 0),
                            _ => (p.zone, p.cell),
                        })
                    };
                    if scope_group(earlier.invoker) != scope_group(later.invoker) {
                        findings.add(
                            true,
                            later.at,
                            format!(
                                "tokened {name}, outside the {} where {before}",
                                trigger_type.scope
                            ),
                        );
                    }
                    if later.earliest > earlier.at + trigger_type.repeat_window + MAX_WRITE_DELAY {
                        findings.add(
                            certain,
                            later.at,
                            format!("tokened {name}, past the repeat window since {before}"),
                        );
                    }
                }
                // A result on the same connection after the later dispatch arrived, without a cancel, proves that the earlier
                // attempt was still in flight.
                let still_in_flight =
                    earlier
                        .ended
                        .as_ref()
                        .is_some_and(|(at, _, response_sent)| {
                            *response_sent && *at > later.at + MAX_WRITE_DELAY
                        });
                if still_in_flight && !earlier.cancelled && !parameters.parallel_dispatches {
                    findings.add(
                        certain,
                        later.at,
                        format!("{name}, while {before} and was still out"),
                    );
                }
            }
        }
    }
    findings
}

fn check_drains(observations: &Observations, parameters: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    let dispatches = observations
        .dispatches
        .iter()
        .flat_map(|((who, invocation), dispatches)| {
            dispatches.iter().map(move |dispatch| {
                (
                    dispatch.at,
                    dispatch.earliest,
                    dispatch.invoker,
                    *who,
                    format!("dispatch {} of invocation {invocation}", dispatch.hop),
                )
            })
        });
    let orders = observations
        .load_orders
        .iter()
        .map(|(at, earliest, invoker, who, function)| {
            (
                *at,
                *earliest,
                *invoker,
                *who,
                format!("an order to load {function:x}"),
            )
        });
    for (at, earliest, invoker, who, frame) in dispatches.chain(orders) {
        findings.looked_at += 1;
        let updates = observations
            .life_updates
            .get(&(who, invoker))
            .map(Vec::as_slice)
            .unwrap_or_default();
        // The latest update that was older than the grace when this frame arrived, if no ready update followed.
        let expired = updates.iter().rposition(|(updated_at, ..)| {
            updated_at + parameters.drain_grace + MAX_WRITE_DELAY < earliest
        });
        let Some(expired) = expired else { continue };
        let ready_again = updates[expired..]
            .iter()
            .any(|(updated_at, ready, _)| *ready && *updated_at <= at);
        if !ready_again {
            // The grace starts with the first of consecutive updates that are not ready.
            let first = updates[..=expired]
                .iter()
                .rposition(|(_, ready, _)| *ready)
                .map_or(0, |r| r + 1);
            let (updated_at, _, life) = &updates[first];
            let certain = !observations.overlaps_stall(Some(who), *updated_at, at);
            let late = to_ms(earliest.saturating_sub(*updated_at));
            findings.add(certain, at, format!("{frame} of controller {} came to invoker {invoker} at {} ms, {late} ms after the controller was told it was {life}", who.controller, to_ms(at)));
        }
    }
    findings
}

fn check_cold_invokers(observations: &Observations, parameters: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    let mean = |trigger: &str| {
        observations
            .work_by_trigger
            .get(trigger)
            .map_or(0.0, |(sum, count)| sum / count.max(1.0))
    };
    let mut sent: BTreeMap<u32, Vec<(Ticks, f64)>> = BTreeMap::new();
    for dispatch in observations.dispatches.values().flatten() {
        sent.entry(dispatch.invoker)
            .or_default()
            .push((dispatch.at, mean(&dispatch.trigger)));
    }
    sent.values_mut()
        .for_each(|dispatches| dispatches.sort_by_key(|(at, _)| *at));
    for (invoker, lives) in &observations.invoker_lives {
        let pace = parameters
            .places
            .iter()
            .find(|p| p.invoker == *invoker)
            .map_or(1.0, |p| p.pace);
        for (index, (start, up, is_cold)) in lives.iter().enumerate() {
            if !up || !is_cold {
                continue;
            }
            let end = lives[index + 1..]
                .iter()
                .find(|l| !l.1)
                .map_or(Ticks::MAX, |l| l.0)
                .min(start + parameters.cold_time);
            let dispatches = sent.get(invoker).map(Vec::as_slice).unwrap_or_default();
            let dispatches_in_life: Vec<(Ticks, f64)> = dispatches
                .iter()
                .filter(|(at, _)| at >= start && *at < end)
                .copied()
                .collect();
            for (i, (at, work)) in dispatches_in_life.iter().enumerate() {
                findings.looked_at += 1;
                let from = at.saturating_sub(parameters.tip_window);
                let sum: f64 = dispatches_in_life[..=i]
                    .iter()
                    .filter(|(t, _)| *t > from)
                    .map(|(_, w)| w)
                    .sum();
                let age = (at - start) as f64 / parameters.cold_time.max(1) as f64;
                let capacity_share =
                    (parameters.cold_share + (1.0 - parameters.cold_share) * age).min(1.0);
                let bound =
                    parameters.tip_factor * capacity_share * pace * parameters.tip_window as f64;
                if sum > bound * (1.0 + COLD_TOLERANCE_SHARE) + COLD_TOLERANCE_INVOCATIONS * work {
                    let certain = !observations.overlaps_stall(None, from, *at);
                    findings.add(certain, *at, format!("invoker {invoker}, up since {} ms, was sent {} ms of work within {} ms up to {} ms; {} ms would be its bound", to_ms(*start), to_ms(sum as Ticks), to_ms(parameters.tip_window), to_ms(*at), to_ms(bound as Ticks)));
                }
            }
        }
    }
    findings
}

fn check_load_budget(observations: &Observations, parameters: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    if parameters.order_window == 0 {
        return findings;
    }
    let controllers: BTreeSet<ControllerId> = observations
        .load_orders
        .iter()
        .map(|order| order.3)
        .collect();
    for who in controllers {
        let mut orders: Vec<(Ticks, Ticks)> = observations
            .load_orders
            .iter()
            .filter(|order| order.3 == who)
            .map(|order| (order.1, order.0))
            .collect();
        orders.sort_unstable();
        let mut sent: Vec<Ticks> = observations
            .attempts
            .values()
            .filter(|attempt| attempt.who == Some(who))
            .map(|attempt| attempt.sent)
            .collect();
        sent.sort_unstable();
        for (i, (earliest, at)) in orders.iter().enumerate() {
            findings.looked_at += 1;
            // Load orders that certainly lie within one window, against all invocations that may have been received in it.
            let within = orders[..=i]
                .iter()
                .filter(|(order_earliest, _)| {
                    order_earliest + parameters.order_window > *at + MAX_WRITE_DELAY
                })
                .count();
            let from = earliest.saturating_sub(parameters.order_window + MAX_WRITE_DELAY);
            let received = sent.partition_point(|sent_at| *sent_at <= at + MAX_WRITE_DELAY)
                - sent.partition_point(|sent_at| *sent_at < from);
            let budget = parameters.orders_free + parameters.orders_share * received as f64;
            if within as f64 > budget + 1e-9 {
                let certain = !observations.overlaps_stall(Some(who), from, *at);
                findings.add(certain, *at, format!("controller {} sent {within} orders to load within {} ms up to {} ms, with {received} invocations taken: {budget:.1} are allowed", who.controller, to_ms(parameters.order_window), to_ms(*at)));
            }
        }
    }
    findings
}
