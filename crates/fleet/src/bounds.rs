//! Rules on how many members may be out at a time, counted over all that are out, for whatever reason.

use crate::state::{Bound, BoundScope, Fleet, Member, MemberId, MemberKind, Phase};
use std::collections::BTreeMap;
use std::fmt;

/// A group of members in which a bound does not hold, and what was counted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct BoundExceeded {
    /// What the bound limits.
    pub bound: String,
    /// The group of members, in words.
    pub group: String,
    /// What was counted.
    pub found: f64,
    /// What is allowed.
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

/// Why a bound can't be stated, or a drain can't be requested.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidBound {
    /// It limits nothing.
    #[error("a bound states nothing: one of out, share, least_size, least_memory is expected")]
    NoLimit,
    /// Not a share.
    #[error("share = {0}: 0 to 1 is expected")]
    Share(f64),
    /// Not a size.
    #[error("{name} = {value}: 0 or more is expected")]
    Minimum {
        /// As in the deployment's script.
        name: &'static str,
        /// What was found.
        value: f64,
    },
    /// The bound would be exceeded with this member alone out.
    #[error("{member} could never go: {exceeded}")]
    NeverAllowed {
        /// The member that could never drain.
        member: MemberId,
        /// The bound in its way.
        exceeded: BoundExceeded,
    },
}

#[derive(Default)]
struct Counted {
    all: u32,
    out: u32,
    size: f64,
    memory_mb: f64,
}

impl Bound {
    /// Whether the bound can be stated.
    pub fn validate(&self) -> Result<(), InvalidBound> {
        let least = [
            ("least_size", self.least_size),
            ("least_memory", self.least_memory_mb),
        ];
        if self.out.is_none() && self.share.is_none() && least.iter().all(|l| l.1.is_none()) {
            return Err(InvalidBound::NoLimit);
        }
        if let Some(share) = self.share.filter(|s| !(0.0..=1.0).contains(s)) {
            return Err(InvalidBound::Share(share));
        }
        for (name, value) in least {
            if let Some(value) = value.filter(|v| !v.is_finite() || *v < 0.0) {
                return Err(InvalidBound::Minimum { name, value });
            }
        }
        Ok(())
    }

    fn covers(&self, id: &MemberId, m: &Member) -> bool {
        self.kind.is_none_or(|k| k == id.kind)
            && self.site.as_ref().is_none_or(|s| *s == m.info.site)
    }

    fn group(&self, m: &Member) -> (String, u16) {
        match self.per {
            BoundScope::Fleet => (String::new(), 0),
            BoundScope::Site => (m.info.site.clone(), 0),
            BoundScope::Cell => (m.info.site.clone(), m.info.cell),
        }
    }

    fn name(&self, (site, cell): &(String, u16)) -> String {
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

    /// The first group in which this bound does not hold: the group of `of`, or any where that is none. `leaves` counts as out.
    fn broken(
        &self,
        fleet: &Fleet,
        of: Option<&MemberId>,
        leaves: Option<&MemberId>,
    ) -> Option<BoundExceeded> {
        let only = match of {
            None => None,
            Some(id) => {
                let m = fleet.members.get(id).filter(|m| self.covers(id, m))?;
                Some(self.group(m))
            }
        };
        let mut groups: BTreeMap<(String, u16), Counted> = BTreeMap::new();
        for (id, m) in fleet.members.iter().filter(|(id, m)| self.covers(id, m)) {
            let group = self.group(m);
            if only.as_ref().is_some_and(|o| *o != group) {
                continue;
            }
            let c = groups.entry(group).or_default();
            c.all += 1;
            if m.phase.is_out() || leaves == Some(id) {
                c.out += 1;
            } else {
                c.size += m.info.size;
                c.memory_mb += m.info.memory_mb;
            }
        }
        groups.iter().find_map(|(group, c)| {
            let over = |bound: &str, found: f64, allowed: f64, broken: bool| {
                let bound = bound.to_owned();
                broken.then(|| BoundExceeded {
                    bound,
                    group: self.name(group),
                    found,
                    allowed,
                })
            };
            // The epsilon makes up for rounding: 0.3 * 10 is a little under 3 in binary.
            let share = self.share.map(|s| (s * f64::from(c.all) + 1e-9).floor());
            let out = f64::from(c.out);
            None.or_else(|| self.out.and_then(|m| over("out", out, m.into(), c.out > m)))
                .or_else(|| share.and_then(|m| over("share out", out, m, out > m)))
                .or_else(|| {
                    self.least_size
                        .and_then(|m| over("size up", c.size, m, c.size < m))
                })
                .or_else(|| {
                    self.least_memory_mb
                        .and_then(|m| over("MB up", c.memory_mb, m, c.memory_mb < m))
                })
        })
    }
}

/// The bound that would be exceeded with this member out, if there is one; it may be out already.
pub fn exceeded_if_out(fleet: &Fleet, member: &MemberId) -> Option<BoundExceeded> {
    fleet
        .bounds
        .iter()
        .find_map(|b| b.broken(fleet, Some(member), Some(member)))
}

/// A bound that is exceeded at the moment, if there is one.
pub fn exceeded(fleet: &Fleet) -> Option<BoundExceeded> {
    fleet
        .bounds
        .iter()
        .find_map(|b| b.broken(fleet, None, None))
}

/// Whether each of them could drain if all others were up.
pub fn check_feasible(fleet: &Fleet, members: &[MemberId]) -> Result<(), InvalidBound> {
    let mut calm = fleet.clone();
    calm.members.values_mut().for_each(|m| m.phase = Phase::Up);
    members.iter().try_for_each(|member| {
        exceeded_if_out(&calm, member).map_or(Ok(()), |exceeded| {
            Err(InvalidBound::NeverAllowed {
                member: *member,
                exceeded,
            })
        })
    })
}
