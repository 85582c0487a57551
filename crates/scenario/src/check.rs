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
const SLACK: Ticks = 20 * MILLISECOND;
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
    finals: Vec<(Ticks, Ticks, Outcome)>,
    hung_up: bool,
    cut_off: Option<Ticks>,
    reads_slowly: bool,
}

#[derive(Clone, Debug)]
struct Dispatch {
    at: Ticks,
    earliest: Ticks,
    invoker: u32,
    hop: u8,
    of: ClientAttempt,
    trigger: String,
    ran: Option<Ticks>,
    /// When it ended, how, and whether the response was sent to the controller.
    ended: Option<(Ticks, String, bool)>,
    cancelled: bool,
}

/// When the endpoint list sent an entry to a controller, whether it was ready, and the life it stated.
type LifeUpdate = (Ticks, bool, String);
type Rule = fn(&Observations, &RuleParameters) -> Findings;

#[derive(Default)]
struct Observations {
    stated: Option<RuleParameters>,
    tries: BTreeMap<ClientAttempt, AttemptRecord>,
    /// Dispatches of each invocation, in order of hops.
    dispatches: BTreeMap<(ControllerId, u32), Vec<Dispatch>>,
    /// Executions of each invocation's effect, without those that were dropped as duplicates.
    runs: BTreeMap<u64, Vec<(Ticks, u32, ClientAttempt)>>,
    orders: Vec<(Ticks, Ticks, u32, ControllerId, u64)>,
    life_updates: BTreeMap<(ControllerId, u32), Vec<LifeUpdate>>,
    lives: BTreeMap<u32, Vec<(Ticks, bool, bool)>>,
    killed: BTreeMap<ControllerId, Ticks>,
    disturbed: Vec<(Ticks, Ticks, String)>,
    work: BTreeMap<String, (f64, f64)>,
}

impl Observations {
    fn from_record(lines: &[Line]) -> Self {
        let mut s = Self::default();
        for line in lines {
            match line.clone() {
                Line::RuleParameters(stated) => s.stated = Some(stated),
                Line::Sent {
                    at,
                    who,
                    of,
                    trigger,
                    timeout,
                    work,
                    ..
                } => {
                    let mean = s.work.entry(trigger.clone()).or_default();
                    *mean = (mean.0 + work as f64, mean.1 + 1.0);
                    let t = s.tries.entry(of).or_default();
                    (t.sent, t.who, t.trigger, t.timeout) = (at, Some(who), trigger, timeout);
                }
                Line::Final {
                    at,
                    earliest,
                    of,
                    how,
                } => {
                    s.tries
                        .entry(of)
                        .or_default()
                        .finals
                        .push((at, earliest, how));
                }
                Line::HungUp { of, .. } => s.tries.entry(of).or_default().hung_up = true,
                Line::ConnectionLost { at, of } => {
                    s.tries.entry(of).or_default().cut_off = Some(at)
                }
                Line::ReadsSlowly { of, .. } => s.tries.entry(of).or_default().reads_slowly = true,
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
                    s.dispatches
                        .entry((who, invocation))
                        .or_default()
                        .push(Dispatch {
                            at,
                            earliest,
                            invoker,
                            hop,
                            of,
                            trigger,
                            ran: None,
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
                    if let Some(d) = s.find(who, invocation, invoker, hop) {
                        d.ran = Some(at);
                    }
                    if !repeat {
                        s.runs.entry(of.number).or_default().push((at, invoker, of));
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
                    if let Some(d) = s.find(who, invocation, invoker, hop) {
                        d.ended = Some((at, ended, response_sent));
                    }
                }
                Line::Cancelled {
                    invoker,
                    who,
                    invocation,
                    hop,
                    ..
                } => {
                    if let Some(d) = s.find(who, invocation, invoker, hop) {
                        d.cancelled = true;
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
                    s.orders.push((at, earliest, invoker, who, function));
                }
                Line::EndpointSent {
                    at,
                    who,
                    invoker,
                    life,
                    ..
                } => {
                    s.life_updates.entry((who, invoker)).or_default().push((
                        at,
                        life == "ready",
                        life,
                    ));
                }
                Line::Invoker {
                    at,
                    invoker,
                    up,
                    cold,
                    ..
                } => {
                    s.lives.entry(invoker).or_default().push((at, up, cold));
                }
                Line::Controller { at, who, up: false } => {
                    s.killed.insert(who, at);
                }
                Line::ThreadStalled { at, until, thread } if until > at + DISTURBED => {
                    s.disturbed.push((at, until, thread));
                }
                _ => {}
            }
        }
        // A stuck invoker may read an earlier dispatch after a later one was read by another invoker.
        s.dispatches
            .values_mut()
            .for_each(|all| all.sort_by_key(|d| d.hop));
        s
    }

    fn find(
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
    fn was_disturbed(&self, who: Option<ControllerId>, from: Ticks, to: Ticks) -> bool {
        let theirs = who.map(|w| format!("controller-{}", w.controller));
        self.disturbed.iter().any(|(a, b, thread)| {
            *a <= to && *b >= from && (thread == "stage" || Some(thread) == theirs.as_ref())
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
    let seen = Observations::from_record(lines);
    let stated = seen
        .stated
        .clone()
        .ok_or("the record does not state the deployment in its first line")?;
    let rules: [(&str, Rule); 5] = [
        ("one final answer in time", check_single_response),
        ("no double effect", check_no_double_effect),
        ("drains are kept", check_drains),
        ("cold invokers are not pushed over", check_cold_invokers),
        ("orders to load are rationed", check_load_budget),
    ];
    let judge = |(n, (name, rule)): (usize, &(&'static str, Rule))| {
        let f = rule(&seen, &stated);
        let state = match (f.broken.is_empty(), f.cannot_tell.is_empty()) {
            (false, _) => State::Broken,
            (true, false) => State::CannotTell,
            (true, true) => State::Kept,
        };
        let (broken, cannot_tell) = (f.broken, f.cannot_tell);
        Verdict {
            rule: n as u8 + 1,
            name,
            state,
            looked_at: f.looked_at,
            broken,
            cannot_tell,
        }
    };
    Ok(rules.iter().enumerate().map(judge).collect())
}

/// Time after a client hung up during which its invocation may still be dispatched, by the operators' terms.
pub const HANG_UP_GRACE: Ticks = 100 * MILLISECOND;

/// Finds dispatches later than [`HANG_UP_GRACE`] after the client hung up, by their earliest possible arrival time. This
/// requirement of the platform's days is additional to the five rules.
pub fn dispatches_after_hang_up(lines: &[Line]) -> Vec<Finding> {
    let seen = Observations::from_record(lines);
    let mut found = Vec::new();
    for line in lines {
        let Line::HungUp { at: left, of } = line else {
            continue;
        };
        let sent_on = seen.dispatches.values().flatten().filter(|d| d.of == *of);
        found.extend(
            sent_on
                .filter(|d| d.earliest > left + HANG_UP_GRACE)
                .map(|d| Finding {
                    at: d.at,
                    text: format!(
                        "invocation {}.{} was sent on to {} {} ms after its client had left",
                        of.number,
                        of.attempt,
                        d.invoker,
                        ms(d.earliest - left)
                    ),
                }),
        );
    }
    found
}

/// Finds responses whose output no invoker produced for that attempt.
pub fn mismatched_outputs(lines: &[Line]) -> Vec<Finding> {
    let mut made = BTreeSet::new();
    let mut found = Vec::new();
    for line in lines {
        match line {
            Line::OutputProduced { of, output, .. } => {
                made.insert((*of, output.as_str()));
            }
            Line::OutputReceived { at, of, output } if !made.contains(&(*of, output.as_str())) => {
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

fn ms(t: Ticks) -> f64 {
    t as f64 / MILLISECOND as f64
}

fn check_single_response(seen: &Observations, _: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    for (of, t) in &seen.tries {
        let Some(who) = t.who else { continue };
        findings.looked_at += 1;
        let name = format!(
            "invocation {}.{} at controller {}",
            of.number, of.attempt, who.controller
        );
        let deadline = t.sent + t.timeout;
        if t.finals.len() > 1 {
            let all: Vec<String> = t
                .finals
                .iter()
                .map(|(at, _, how)| format!("{how:?} at {} ms", ms(*at)))
                .collect();
            findings.add(
                true,
                t.finals[1].0,
                format!("{name} got {}", all.join(" and ")),
            );
        }
        let killed = seen
            .killed
            .get(&who)
            .is_some_and(|at| *at <= deadline + SLACK);
        match t.finals.first() {
            // A late read by a slow reader proves nothing; an earliest possible arrival after the timeout is certain.
            Some((at, earliest, _)) if *earliest > deadline && !t.reads_slowly => {
                let certain = !seen.was_disturbed(Some(who), t.sent, *at);
                findings.add(
                    certain,
                    *at,
                    format!(
                        "{name}, sent at {} ms, was answered {} ms after its client timeout",
                        ms(t.sent),
                        ms(earliest - deadline)
                    ),
                );
            }
            Some(_) => {}
            None if t.hung_up
                || t.cut_off.is_some_and(|at| killed && at <= deadline + SLACK)
                || killed => {}
            None => {
                let certain = !seen.was_disturbed(
                    Some(who),
                    deadline.saturating_sub(t.timeout / 4 + DISTURBED),
                    deadline + DISTURBED,
                ) && !t.reads_slowly;
                let how = if t.cut_off.is_some() {
                    "was cut off"
                } else {
                    "got no answer"
                };
                findings.add(
                    certain,
                    deadline,
                    format!(
                        "{name}, sent at {} ms with {} ms to go, {how}",
                        ms(t.sent),
                        ms(t.timeout)
                    ),
                );
            }
        }
    }
    findings
}

fn check_no_double_effect(seen: &Observations, stated: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    let trigger = |name: &str| stated.triggers.iter().find(|t| t.name == name);
    let place = |invoker: u32| stated.places.iter().find(|p| p.invoker == invoker);
    for (of, t) in &seen.tries {
        let Some(terms) = trigger(&t.trigger).filter(|t| t.effect != "idempotent") else {
            continue;
        };
        findings.looked_at += 1;
        let runs = seen
            .runs
            .get(&of.number)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if of.attempt == 0 && runs.len() > 1 {
            let all: Vec<String> = runs
                .iter()
                .map(|(at, invoker, of)| {
                    format!("invoker {invoker} at {} ms (try {})", ms(*at), of.attempt)
                })
                .collect();
            findings.add(
                true,
                runs[1].0,
                format!(
                    "{} invocation {} took effect at {}",
                    terms.effect,
                    of.number,
                    all.join(" and ")
                ),
            );
        }
        let ran = runs.iter().find(|(.., by)| by == of);
        let throttled = t.finals.iter().find(|(.., how)| *how == Outcome::Throttled);
        if let (Some((ran, invoker, _)), Some((at, ..))) = (ran, throttled)
            && (terms.effect == "non-idempotent" || terms.scope != "all")
        {
            let text = format!(
                "{} invocation {}.{} ran on invoker {invoker} at {} ms and was throttled",
                terms.effect,
                of.number,
                of.attempt,
                ms(*ran)
            );
            findings.add(true, *at, text);
        }
    }
    for ((who, invocation), all) in &seen.dispatches {
        for (i, later) in all.iter().enumerate().skip(1) {
            findings.looked_at += 1;
            let Some(terms) = trigger(&later.trigger) else {
                continue;
            };
            for earlier in &all[..i] {
                let name = format!(
                    "invocation {}.{} (number {invocation} of controller {}): dispatch {} came to invoker {} at {} ms",
                    later.of.number,
                    later.of.attempt,
                    who.controller,
                    later.hop,
                    later.invoker,
                    ms(later.at)
                );
                let before = format!(
                    "dispatch {} had come to invoker {} at {} ms",
                    earlier.hop,
                    earlier.invoker,
                    ms(earlier.at)
                );
                let ended = earlier
                    .ended
                    .as_ref()
                    .filter(|(at, _, response_sent)| *response_sent && *at <= later.at);
                let never_ran = ended.is_some_and(|(_, how, _)| how == "full" || how == "miss");
                let certain = !seen.was_disturbed(Some(*who), earlier.at, later.at);
                if !never_ran && terms.effect == "non-idempotent" {
                    findings.add(
                        true,
                        later.at,
                        format!("non-idempotent {name}, though {before}"),
                    );
                }
                if !never_ran && terms.effect == "tokened" {
                    let group = |w: u32| {
                        place(w).map(|p| match terms.scope.as_str() {
                            "all" => (0, 0),
                            "zone" => (p.zone, 0),
                            _ => (p.zone, p.cell),
                        })
                    };
                    if group(earlier.invoker) != group(later.invoker) {
                        findings.add(
                            true,
                            later.at,
                            format!("tokened {name}, outside the {} where {before}", terms.scope),
                        );
                    }
                    if later.earliest > earlier.at + terms.repeat_window + SLACK {
                        findings.add(
                            certain,
                            later.at,
                            format!("tokened {name}, past the repeat window since {before}"),
                        );
                    }
                }
                // A result on the same connection after the later dispatch arrived, without a cancel, proves that the earlier
                // attempt was still in flight.
                let still_in_flight = earlier
                    .ended
                    .as_ref()
                    .is_some_and(|(at, _, response_sent)| *response_sent && *at > later.at + SLACK);
                if still_in_flight && !earlier.cancelled && !stated.parallel_dispatches {
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

fn check_drains(seen: &Observations, stated: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    let dispatches = seen.dispatches.iter().flat_map(|((who, inv), all)| {
        all.iter().map(move |d| {
            (
                d.at,
                d.earliest,
                d.invoker,
                *who,
                format!("dispatch {} of invocation {inv}", d.hop),
            )
        })
    });
    let orders = seen
        .orders
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
    for (at, earliest, invoker, who, what) in dispatches.chain(orders) {
        findings.looked_at += 1;
        let updates = seen
            .life_updates
            .get(&(who, invoker))
            .map(Vec::as_slice)
            .unwrap_or_default();
        // The latest update that was older than the grace when this frame arrived, if no ready update followed.
        let expired = updates
            .iter()
            .rposition(|(t, ..)| t + stated.drain_grace + SLACK < earliest);
        let Some(expired) = expired else { continue };
        let ready_again = updates[expired..]
            .iter()
            .any(|(t, ready, _)| *ready && *t <= at);
        if !ready_again {
            // The grace starts with the first of consecutive updates that are not ready.
            let first = updates[..=expired]
                .iter()
                .rposition(|(_, ready, _)| *ready)
                .map_or(0, |r| r + 1);
            let (t, _, life) = &updates[first];
            let certain = !seen.was_disturbed(Some(who), *t, at);
            let late = ms(earliest.saturating_sub(*t));
            findings.add(certain, at, format!("{what} of controller {} came to invoker {invoker} at {} ms, {late} ms after the controller was told it was {life}", who.controller, ms(at)));
        }
    }
    findings
}

fn check_cold_invokers(seen: &Observations, stated: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    let mean = |trigger: &str| {
        seen.work
            .get(trigger)
            .map_or(0.0, |(sum, n)| sum / n.max(1.0))
    };
    let mut sent: BTreeMap<u32, Vec<(Ticks, f64)>> = BTreeMap::new();
    for d in seen.dispatches.values().flatten() {
        sent.entry(d.invoker)
            .or_default()
            .push((d.at, mean(&d.trigger)));
    }
    sent.values_mut()
        .for_each(|all| all.sort_by_key(|(at, _)| *at));
    for (invoker, lives) in &seen.lives {
        let pace = stated
            .places
            .iter()
            .find(|p| p.invoker == *invoker)
            .map_or(1.0, |p| p.pace);
        for (n, (start, up, is_cold)) in lives.iter().enumerate() {
            if !up || !is_cold {
                continue;
            }
            let end = lives[n + 1..]
                .iter()
                .find(|l| !l.1)
                .map_or(Ticks::MAX, |l| l.0)
                .min(start + stated.cold_time);
            let all = sent.get(invoker).map(Vec::as_slice).unwrap_or_default();
            let life: Vec<(Ticks, f64)> = all
                .iter()
                .filter(|(at, _)| at >= start && *at < end)
                .copied()
                .collect();
            for (i, (at, work)) in life.iter().enumerate() {
                findings.looked_at += 1;
                let from = at.saturating_sub(stated.tip_window);
                let sum: f64 = life[..=i]
                    .iter()
                    .filter(|(t, _)| *t > from)
                    .map(|(_, w)| w)
                    .sum();
                let age = (at - start) as f64 / stated.cold_time.max(1) as f64;
                let risen = (stated.cold_share + (1.0 - stated.cold_share) * age).min(1.0);
                let bound = stated.tip_factor * risen * pace * stated.tip_window as f64;
                if sum > bound * (1.0 + COLD_TOLERANCE_SHARE) + COLD_TOLERANCE_INVOCATIONS * work {
                    let certain = !seen.was_disturbed(None, from, *at);
                    findings.add(certain, *at, format!("invoker {invoker}, up since {} ms, was sent {} ms of work within {} ms up to {} ms; {} ms would be its bound", ms(*start), ms(sum as Ticks), ms(stated.tip_window), ms(*at), ms(bound as Ticks)));
                }
            }
        }
    }
    findings
}

fn check_load_budget(seen: &Observations, stated: &RuleParameters) -> Findings {
    let mut findings = Findings::default();
    if stated.order_window == 0 {
        return findings;
    }
    let all: BTreeSet<ControllerId> = seen.orders.iter().map(|o| o.3).collect();
    for who in all {
        let mut orders: Vec<(Ticks, Ticks)> = seen
            .orders
            .iter()
            .filter(|o| o.3 == who)
            .map(|o| (o.1, o.0))
            .collect();
        orders.sort_unstable();
        let mut sent: Vec<Ticks> = seen
            .tries
            .values()
            .filter(|t| t.who == Some(who))
            .map(|t| t.sent)
            .collect();
        sent.sort_unstable();
        for (i, (earliest, at)) in orders.iter().enumerate() {
            findings.looked_at += 1;
            // Load orders that certainly lie within one window, against all invocations that may have been received in it.
            let within = orders[..=i]
                .iter()
                .filter(|(e, _)| e + stated.order_window > *at + SLACK)
                .count();
            let from = earliest.saturating_sub(stated.order_window + SLACK);
            let taken =
                sent.partition_point(|t| *t <= at + SLACK) - sent.partition_point(|t| *t < from);
            let most = stated.orders_free + stated.orders_share * taken as f64;
            if within as f64 > most + 1e-9 {
                let certain = !seen.was_disturbed(Some(who), from, *at);
                findings.add(certain, *at, format!("controller {} sent {within} orders to load within {} ms up to {} ms, with {taken} invocations taken: {most:.1} are allowed", who.controller, ms(stated.order_window), ms(*at)));
            }
        }
    }
    findings
}
