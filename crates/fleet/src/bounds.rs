//! How many may be out at a time, counted over all that are out, for whatever reason.

use crate::state::{Bound, Fleet, Kind, Member, MemberId, Per, Phase};
use std::collections::BTreeMap;
use std::fmt;

/// A group in which there is no room, and what was counted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct Over {
    pub bound: String,
    pub group: String,
    pub found: f64,
    pub allowed: f64,
}

impl fmt::Display for Over {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {}: {} where {} is the bound",
            self.bound, self.group, self.found, self.allowed
        )
    }
}

/// What a bound can't be.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Unfit {
    #[error("a bound states nothing: one of out, share, least_size, least_memory is expected")]
    Nothing,
    #[error("share = {0}: 0 to 1 is expected")]
    Share(f64),
    #[error("{name} = {value}: 0 or more is expected")]
    Least { name: &'static str, value: f64 },
    /// Holds with nobody out or not at all.
    #[error("{member} could never go: {over}")]
    Never { member: MemberId, over: Over },
}

#[derive(Default)]
struct Counted {
    all: u32,
    out: u32,
    size: f64,
    memory_mb: f64,
}

impl Bound {
    pub fn fits(&self) -> Result<(), Unfit> {
        let least = [
            ("least_size", self.least_size),
            ("least_memory", self.least_memory_mb),
        ];
        if self.out.is_none() && self.share.is_none() && least.iter().all(|l| l.1.is_none()) {
            return Err(Unfit::Nothing);
        }
        if let Some(share) = self.share.filter(|s| !(0.0..=1.0).contains(s)) {
            return Err(Unfit::Share(share));
        }
        for (name, value) in least {
            if let Some(value) = value.filter(|v| !v.is_finite() || *v < 0.0) {
                return Err(Unfit::Least { name, value });
            }
        }
        Ok(())
    }

    fn covers(&self, id: &MemberId, m: &Member) -> bool {
        self.kind.is_none_or(|k| k == id.kind)
            && self.site.as_ref().is_none_or(|s| *s == m.about.site)
    }

    fn group(&self, m: &Member) -> (String, u16) {
        match self.per {
            Per::Fleet => (String::new(), 0),
            Per::Site => (m.about.site.clone(), 0),
            Per::Cell => (m.about.site.clone(), m.about.cell),
        }
    }

    fn name(&self, (site, cell): &(String, u16)) -> String {
        let kind = match self.kind {
            None => "members",
            Some(Kind::Controller) => "controllers",
            Some(Kind::Invoker) => "invokers",
        };
        match (self.per, &self.site) {
            (Per::Fleet, None) => kind.to_owned(),
            (Per::Fleet, Some(site)) => format!("{kind} of site {site}"),
            (Per::Site, _) => format!("{kind} of site {site}"),
            (Per::Cell, _) => format!("{kind} of cell {cell} of site {site}"),
        }
    }

    /// Where this bound does not hold, of the groups that `of` is in; of all where it is none. `leaves` counts as out.
    fn broken(
        &self,
        fleet: &Fleet,
        of: Option<&MemberId>,
        leaves: Option<&MemberId>,
    ) -> Option<Over> {
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
                c.size += m.about.size;
                c.memory_mb += m.about.memory_mb;
            }
        }
        groups.iter().find_map(|(group, c)| {
            let over = |bound: &str, found: f64, allowed: f64, broken: bool| {
                let bound = bound.to_owned();
                broken.then(|| Over {
                    bound,
                    group: self.name(group),
                    found,
                    allowed,
                })
            };
            // A hair above, as three tenths of ten are a little under three in binary.
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

/// What stands against this member's going out now, if anything; it may be out already.
pub fn against(fleet: &Fleet, member: &MemberId) -> Option<Over> {
    fleet
        .bounds
        .iter()
        .find_map(|b| b.broken(fleet, Some(member), Some(member)))
}

/// Where a bound does not hold as things are.
pub fn broken(fleet: &Fleet) -> Option<Over> {
    fleet
        .bounds
        .iter()
        .find_map(|b| b.broken(fleet, None, None))
}

/// Whether each of them could go if everybody else were up.
pub fn ever(fleet: &Fleet, members: &[MemberId]) -> Result<(), Unfit> {
    let mut calm = fleet.clone();
    calm.members.values_mut().for_each(|m| m.phase = Phase::Up);
    members.iter().try_for_each(|member| {
        against(&calm, member).map_or(Ok(()), |over| {
            Err(Unfit::Never {
                member: *member,
                over,
            })
        })
    })
}
