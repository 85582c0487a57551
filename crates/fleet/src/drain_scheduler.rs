//! Chooses the next member to drain: of the requested members within the bounds, the one whose absence costs least.

use crate::bounds;
use crate::change::Change;
use crate::state::{Fleet, MemberId, Phase};
use std::collections::BTreeMap;

/// The latest load report of a member. It only affects the order of drains; safety does not depend on it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemberLoad {
    /// Work in flight, as a share of the size of the member.
    pub busy: f64,
    /// Number of functions of which the member has the last loaded copy.
    pub last_copies: u32,
}

/// The cost of draining the member, compared by the most important criterion first.
fn drain_cost(
    fleet: &Fleet,
    id: &MemberId,
    load: MemberLoad,
    queue_position: usize,
) -> (bool, u32, u32, usize, u32, usize) {
    let member = &fleet.members[id];
    let count_out = |is_same_group: &dyn Fn(&crate::state::Member) -> bool| {
        fleet
            .out_members()
            .filter(|(other_id, other)| other_id.kind == id.kind && is_same_group(other))
            .count() as u32
    };
    let out_in_cell = count_out(&|other| {
        other.info.site == member.info.site && other.info.cell == member.info.cell
    });
    let out_in_site = count_out(&|other| other.info.site == member.info.site);
    // Sites take turns: a site with more finished drains waits for the others.
    let finished = fleet.drain_requests.values().flat_map(|a| &a.finished);
    let finished_in_site = finished
        .filter(|f| f.kind == id.kind && site_of(fleet, f) == Some(&member.info.site))
        .count();
    // Truncated to tenths, so that members with nearly the same load drain in the requested order.
    let busy_tenths = (load.busy.clamp(0.0, 10.0) * 10.0) as u32;
    (
        load.last_copies > 0,
        out_in_cell,
        out_in_site,
        finished_in_site,
        busy_tenths,
        queue_position,
    )
}

fn site_of<'a>(fleet: &'a Fleet, id: &MemberId) -> Option<&'a String> {
    fleet.members.get(id).map(|member| &member.info.site)
}

/// The next member to be granted a drain, if the bounds allow one and drains are not halted.
pub fn next_to_drain(fleet: &Fleet, loads: &BTreeMap<MemberId, MemberLoad>) -> Option<MemberId> {
    if fleet.halt.is_some() {
        return None;
    }
    let mut requests: Vec<_> = fleet.drain_requests.values().collect();
    requests.sort_by_key(|request| request.revision);
    let waiting = requests
        .iter()
        .flat_map(|request| &request.waiting)
        .enumerate();
    let up = waiting.filter(|(_, id)| fleet.members.get(id).is_some_and(|m| m.phase == Phase::Up));
    let allowed = up.filter(|(_, id)| bounds::exceeded_if_out(fleet, id).is_none());
    let cost = |(position, id): &(usize, &MemberId)| {
        drain_cost(
            fleet,
            id,
            loads.get(id).copied().unwrap_or_default(),
            *position,
        )
    };
    allowed.min_by_key(cost).map(|(_, id)| *id)
}

/// Why no requested drain is granted at the moment, for operators.
pub fn blocking_reason(fleet: &Fleet) -> Option<String> {
    if let Some(halt) = &fleet.halt {
        return Some(format!(
            "halted by {}: {}; ends by {}",
            halt.by, halt.why, halt.ends
        ));
    }
    let waiting = fleet.drain_requests.values().flat_map(|a| &a.waiting);
    let mut reason = None;
    for id in waiting {
        let Some(member) = fleet.members.get(id) else {
            continue;
        };
        if member.phase != Phase::Up {
            reason = reason.or_else(|| Some(format!("{id} is {}", member.phase.name())));
        } else if let Some(exceeded) = bounds::exceeded_if_out(fleet, id) {
            reason = Some(format!("no room for {id}: {exceeded}"));
            break;
        }
    }
    reason
}

/// One step of a dry run: members that would be out of service together, in drain order.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Batch {
    /// The members that would drain.
    #[serde(rename = "go")]
    pub members: Vec<MemberId>,
    /// Why the next member has to wait.
    pub limit: Option<String>,
}

/// Simulates the drains of these members on a copy of the fleet, assuming equal durations and no lost members.
pub fn dry_run(fleet: &Fleet, members: &[MemberId]) -> Result<Vec<Batch>, crate::change::Refusal> {
    let mut fleet = fleet.clone();
    fleet.halt = None;
    let request = Change::Ask {
        id: "dry run".into(),
        members: members.to_vec(),
        by: "dry run".into(),
    };
    fleet.apply(&request)?;
    let (mut batches, loads) = (Vec::new(), BTreeMap::new());
    loop {
        let mut members = Vec::new();
        while let Some(id) = next_to_drain(&fleet, &loads) {
            fleet.apply(&Change::Grant { member: id })?;
            members.push(id);
        }
        if members.is_empty() {
            return Ok(batches);
        }
        let limit = blocking_reason(&fleet);
        for id in &members {
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
        batches.push(Batch { members, limit });
    }
}
