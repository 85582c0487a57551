//! Judges fleet-wide tasks by the record alone: which resource accepted an effect, with which epoch, from which holder, and
//! which holders the coordinators' history states.

use crate::judge::Verdict;
use crate::record::Line;
use std::collections::BTreeMap;

/// The rules for effects of fleet-wide tasks, in the order of the verdicts.
pub const LEASE_RULES: [&str; 3] = [
    "no effect of an earlier epoch after one of a later epoch, on any resource",
    "the effects of one epoch are one holder's",
    "the holder of an epoch is the one that was agreed",
];

/// An effect that a resource accepted.
#[derive(Clone, Copy)]
struct Effect<'a> {
    at_ns: u64,
    resource: &'a str,
    lease: &'a str,
    epoch: u64,
    /// The holder's name and incarnation, separated by a slash.
    by: &'a str,
}

fn as_effect(line: &Line) -> Option<Effect<'_>> {
    let Line::Effect {
        at_ns,
        resource,
        lease,
        epoch,
        by,
    } = line
    else {
        return None;
    };
    Some(Effect {
        at_ns: *at_ns,
        resource,
        lease,
        epoch: *epoch,
        by,
    })
}

/// Returns all effects in order of time; the order of effects of one instant is kept.
fn effects_in_time_order(lines: &[Line]) -> Vec<Effect<'_>> {
    let mut effects: Vec<Effect> = lines.iter().filter_map(as_effect).collect();
    effects.sort_by_key(|effect| effect.at_ns);
    effects
}

/// Returns the epoch and the holder if the line is the history entry of a lease grant.
fn parse_lease_grant(line: &Line) -> Option<(u64, &str)> {
    let Line::History { what, .. } = line else {
        return None;
    };
    let (holder, epoch) = what.split_once(" goes to ")?.1.split_once(", epoch ")?;
    Some((epoch.parse().ok()?, holder))
}

/// Returns the holder of each epoch according to the coordinators' history.
fn agreed_holders(lines: &[Line]) -> BTreeMap<u64, &str> {
    lines.iter().filter_map(parse_lease_grant).collect()
}

/// Judges all lease rules and returns one verdict for each.
pub fn judge_leases(lines: &[Line]) -> Vec<Verdict> {
    let mut broken: [Vec<String>; 3] = Default::default();
    let (effects, agreed) = (effects_in_time_order(lines), agreed_holders(lines));
    let mut latest: BTreeMap<&str, Effect> = BTreeMap::new();
    let mut holders: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for effect in effects {
        let Effect {
            at_ns,
            resource,
            lease,
            epoch,
            by,
        } = effect;
        match latest.get(lease) {
            Some(later) if later.epoch > epoch => broken[0].push(format!(
                "{lease}: epoch {epoch} of {by} on {resource} {} ns after epoch {} of {} on {}",
                at_ns - later.at_ns,
                later.epoch,
                later.by,
                later.resource
            )),
            _ => drop(latest.insert(lease, effect)),
        }
        let holder = holders.entry((lease, epoch)).or_insert(by);
        if *holder != by {
            broken[1].push(format!(
                "{lease}: epoch {epoch} was used by {holder} and by {by}"
            ));
        }
        // The history states the holder's name without its incarnation.
        let member = by.split('/').next().unwrap_or(by);
        if let Some(agreed_holder) = agreed.get(&epoch).filter(|holder| **holder != member) {
            broken[2].push(format!(
                "{lease}: epoch {epoch} was used by {by}, and given to {agreed_holder}"
            ));
        }
    }
    let verdict = |(rule, broken): (&&'static str, Vec<String>)| Verdict { rule, broken };
    LEASE_RULES.iter().zip(broken).map(verdict).collect()
}

#[cfg(test)]
mod tests;
