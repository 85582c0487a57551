//! Who drains next: of the requested members that the bounds allow, the one whose absence costs least.

use crate::bounds;
use crate::change::Change;
use crate::state::{Fleet, MemberId, Phase};
use std::collections::BTreeMap;

/// What a member last reported of its load. A hint for the order of drains; safety does not depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberLoad {
    /// Work in flight, as a share of its size.
    pub busy: f64,
    /// Functions of which it has the last loaded copy.
    pub last_copies: u32,
}

/// How much a drain of the member is to be avoided; the most important criterion first.
fn weight(
    fleet: &Fleet,
    id: &MemberId,
    seen: MemberLoad,
    place: usize,
) -> (bool, u32, u32, usize, u32, usize) {
    let m = &fleet.members[id];
    let beside = |same: &dyn Fn(&crate::state::Member) -> bool| {
        fleet
            .out_members()
            .filter(|(other, o)| other.kind == id.kind && same(o))
            .count() as u32
    };
    let cell = beside(&|o| o.info.site == m.info.site && o.info.cell == m.info.cell);
    let site = beside(&|o| o.info.site == m.info.site);
    // Sites in turn: one that has given more waits for the others.
    let given = fleet.drain_requests.values().flat_map(|a| &a.finished);
    let given = given
        .filter(|f| f.kind == id.kind && site_of(fleet, f) == Some(&m.info.site))
        .count();
    // In tenths, so that what is nearly alike goes in the order in which it was asked for.
    let busy = (seen.busy.clamp(0.0, 10.0) * 10.0) as u32;
    (seen.last_copies > 0, cell, site, given, busy, place)
}

fn site_of<'a>(fleet: &'a Fleet, id: &MemberId) -> Option<&'a String> {
    fleet.members.get(id).map(|m| &m.info.site)
}

/// The next member to be granted a drain, if the bounds allow any and drains are not halted.
pub fn next_to_drain(fleet: &Fleet, seen: &BTreeMap<MemberId, MemberLoad>) -> Option<MemberId> {
    if fleet.halt.is_some() {
        return None;
    }
    let mut asks: Vec<_> = fleet.drain_requests.values().collect();
    asks.sort_by_key(|a| a.revision);
    let waiting = asks.iter().flat_map(|a| &a.waiting).enumerate();
    let can = waiting.filter(|(_, id)| fleet.members.get(id).is_some_and(|m| m.phase == Phase::Up));
    let can = can.filter(|(_, id)| bounds::exceeded_if_out(fleet, id).is_none());
    let weigh = |(place, id): &(usize, &MemberId)| {
        weight(fleet, id, seen.get(id).copied().unwrap_or_default(), *place)
    };
    can.min_by_key(weigh).map(|(_, id)| *id)
}

/// Why no requested drain is granted, for those who wait.
pub fn blocking_reason(fleet: &Fleet) -> Option<String> {
    if let Some(h) = &fleet.halt {
        return Some(format!("halted by {}: {}; ends by {}", h.by, h.why, h.ends));
    }
    let waiting = fleet.drain_requests.values().flat_map(|a| &a.waiting);
    let mut why = None;
    for id in waiting {
        let Some(m) = fleet.members.get(id) else {
            continue;
        };
        if m.phase != Phase::Up {
            why = why.or_else(|| Some(format!("{id} is {}", m.phase.name())));
        } else if let Some(over) = bounds::exceeded_if_out(fleet, id) {
            why = Some(format!("no room for {id}: {over}"));
            break;
        }
    }
    why
}

/// One step of a dry run: members that would be out together, in their order.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// Who would drain.
    #[serde(rename = "go")]
    pub members: Vec<MemberId>,
    /// Why the next one has to wait.
    pub limit: Option<String>,
}

/// How these members would drain if each took as long as the other and no other was lost, on a copy of the fleet.
pub fn dry_run(fleet: &Fleet, members: &[MemberId]) -> Result<Vec<Batch>, crate::change::Refusal> {
    let mut fleet = fleet.clone();
    fleet.halt = None;
    let ask = Change::Ask {
        id: "dry run".into(),
        members: members.to_vec(),
        by: "dry run".into(),
    };
    fleet.apply(&ask)?;
    let (mut batches, seen) = (Vec::new(), BTreeMap::new());
    loop {
        let mut go = Vec::new();
        while let Some(id) = next_to_drain(&fleet, &seen) {
            fleet.apply(&Change::Grant { member: id })?;
            go.push(id);
        }
        if go.is_empty() {
            return Ok(batches);
        }
        let limit = blocking_reason(&fleet);
        for id in &go {
            let incarnation = fleet.members[id].info.incarnation;
            let grant = fleet.members[id].phase.grant().unwrap_or(0);
            fleet.apply(&Change::Begin {
                member: *id,
                incarnation,
                grant,
            })?;
            fleet.apply(&Change::Leave {
                member: *id,
                incarnation,
            })?;
            let mut about = fleet.members[id].info.clone();
            about.incarnation = incarnation.wrapping_add(1).max(1);
            let incarnation = about.incarnation;
            fleet.apply(&Change::Join { member: *id, about })?;
            fleet.apply(&Change::Proven {
                member: *id,
                incarnation,
            })?;
        }
        batches.push(Batch { members: go, limit });
    }
}
