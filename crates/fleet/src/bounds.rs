//! Checks how many members are out of service against the bounds. All members that are out count, planned or not.

use crate::state::{Bound, BoundScope, Fleet, Member, MemberId, MemberKind, Phase};
use std::collections::BTreeMap;
use std::fmt;

/// A group of members in which a bound does not hold, with the measured and the allowed value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct BoundExceeded {
    /// The quantity that the bound limits.
    pub bound: String,
    /// A description of the group of members.
    pub group: String,
    /// The measured value.
    pub found: f64,
    /// The allowed value.
    pub allowed: f64,
}

impl fmt::Display for BoundExceeded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {}: {} where {} is the bound",
            self.bound, self.group, self.found, self.allowed
        )
    }
}

/// Why a bound is invalid, or a drain request can never be granted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidBound {
    /// The bound sets no limit.
    #[error("a bound states nothing: one of out, share, least_size, least_memory is expected")]
    NoLimit,
    /// The share is not between 0 and 1.
    #[error("share = {0}: 0 to 1 is expected")]
    Share(f64),
    /// The minimum is negative or not finite.
    #[error("{name} = {value}: 0 or more is expected")]
    Minimum {
        /// The name of the setting in the deployment's script.
        name: &'static str,
        /// The invalid value.
        value: f64,
    },
    /// The bound would be exceeded even with this member alone out of service.
    #[error("{member} could never go: {exceeded}")]
    NeverAllowed {
        /// The member that could never drain.
        member: MemberId,
        /// The bound that would be exceeded.
        exceeded: BoundExceeded,
    },
}

#[derive(Default)]
struct GroupTotals {
    members: u32,
    out: u32,
    size: f64,
    memory_mb: f64,
}

impl Bound {
    /// Checks that the bound is valid.
    pub fn validate(&self) -> Result<(), InvalidBound> {
        let minimums = [
            ("least_size", self.least_size),
            ("least_memory", self.least_memory_mb),
        ];
        if self.out.is_none()
            && self.share.is_none()
            && minimums.iter().all(|(_, value)| value.is_none())
        {
            return Err(InvalidBound::NoLimit);
        }
        if let Some(share) = self.share.filter(|s| !(0.0..=1.0).contains(s)) {
            return Err(InvalidBound::Share(share));
        }
        for (name, value) in minimums {
            if let Some(value) = value.filter(|v| !v.is_finite() || *v < 0.0) {
                return Err(InvalidBound::Minimum { name, value });
            }
        }
        Ok(())
    }

    fn covers(&self, id: &MemberId, member: &Member) -> bool {
        self.kind.is_none_or(|k| k == id.kind)
            && self.site.as_ref().is_none_or(|s| *s == member.info.site)
    }

    fn group(&self, member: &Member) -> (String, u16) {
        match self.per {
            BoundScope::Fleet => (String::new(), 0),
            BoundScope::Site => (member.info.site.clone(), 0),
            BoundScope::Cell => (member.info.site.clone(), member.info.cell),
        }
    }

    fn describe_group(&self, (site, cell): &(String, u16)) -> String {
        let kind = match self.kind {
            None => "members",
            Some(MemberKind::Controller) => "controllers",
            Some(MemberKind::Invoker) => "invokers",
        };
        match (self.per, &self.site) {
            (BoundScope::Fleet, None) => kind.to_owned(),
            (BoundScope::Fleet, Some(site)) => format!("{kind} of site {site}"),
            (BoundScope::Site, _) => format!("{kind} of site {site}"),
            (BoundScope::Cell, _) => format!("{kind} of cell {cell} of site {site}"),
        }
    }

    /// The first group in which this bound does not hold, among all groups or only that of `member`. The member `assumed_out`
    /// counts as out of service.
    fn first_exceeded(
        &self,
        fleet: &Fleet,
        member: Option<&MemberId>,
        assumed_out: Option<&MemberId>,
    ) -> Option<BoundExceeded> {
        let only_group = match member {
            None => None,
            Some(id) => {
                let member = fleet.members.get(id).filter(|m| self.covers(id, m))?;
                Some(self.group(member))
            }
        };
        let mut groups: BTreeMap<(String, u16), GroupTotals> = BTreeMap::new();
        for (id, member) in fleet.members.iter().filter(|(id, m)| self.covers(id, m)) {
            let group = self.group(member);
            if only_group.as_ref().is_some_and(|only| *only != group) {
                continue;
            }
            let totals = groups.entry(group).or_default();
            totals.members += 1;
            if member.phase.is_out() || assumed_out == Some(id) {
                totals.out += 1;
            } else {
                totals.size += member.info.size;
                totals.memory_mb += member.info.memory_mb;
            }
        }
        groups.iter().find_map(|(group, totals)| {
            let exceeded = |bound: &str, found: f64, allowed: f64, is_exceeded: bool| {
                let bound = bound.to_owned();
                is_exceeded.then(|| BoundExceeded {
                    bound,
                    group: self.describe_group(group),
                    found,
                    allowed,
                })
            };
            // The epsilon compensates for rounding: 0.3 * 10 is slightly below 3 in binary floating point.
            let max_by_share = self
                .share
                .map(|share| (share * f64::from(totals.members) + 1e-9).floor());
            let out = f64::from(totals.out);
            None.or_else(|| {
                self.out
                    .and_then(|most| exceeded("out", out, most.into(), totals.out > most))
            })
            .or_else(|| max_by_share.and_then(|most| exceeded("share out", out, most, out > most)))
            .or_else(|| {
                self.least_size
                    .and_then(|least| exceeded("size up", totals.size, least, totals.size < least))
            })
            .or_else(|| {
                self.least_memory_mb.and_then(|least| {
                    exceeded("MB up", totals.memory_mb, least, totals.memory_mb < least)
                })
            })
        })
    }
}

/// The bound that would be exceeded with this member out of service, if any. The member may be out already.
pub fn exceeded_if_out(fleet: &Fleet, member: &MemberId) -> Option<BoundExceeded> {
    fleet
        .bounds
        .iter()
        .find_map(|bound| bound.first_exceeded(fleet, Some(member), Some(member)))
}

/// A bound that is currently exceeded, if any.
pub fn exceeded(fleet: &Fleet) -> Option<BoundExceeded> {
    fleet
        .bounds
        .iter()
        .find_map(|bound| bound.first_exceeded(fleet, None, None))
}

/// Checks that each member could drain if all others were up.
pub fn check_feasible(fleet: &Fleet, members: &[MemberId]) -> Result<(), InvalidBound> {
    let mut all_up = fleet.clone();
    all_up
        .members
        .values_mut()
        .for_each(|m| m.phase = Phase::Up);
    members.iter().try_for_each(|member| {
        exceeded_if_out(&all_up, member).map_or(Ok(()), |exceeded| {
            Err(InvalidBound::NeverAllowed {
                member: *member,
                exceeded,
            })
        })
    })
}
