//! The homes of a chunk: the first invokers of its rendezvous ranking. Homes fetch the chunk and serve it to peers.

use crate::Digest;
use saltdrum::interface::InvokerId;

/// Invokers that are tried for a chunk before the store.
pub const HOMES_PER_CHUNK: usize = 2;

/// An invoker as stated by the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    pub invoker: InvokerId,
    pub size: f64,
    /// Share of full capacity that it has reached since its start, 0 to 1. A warming invoker is home to this share of
    /// its chunks, and to the rest once it is warm.
    pub capacity_share: f64,
    /// False while it drains: it is home to no chunk.
    pub ready: bool,
}

/// Hashes chunk and invoker to a number in (0, 1), the same on every invoker.
fn unit_hash(chunk: u64, invoker: InvokerId, salt: u64) -> f64 {
    let mut hash =
        chunk ^ (u64::from(invoker).wrapping_add(salt)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((hash ^ (hash >> 31)) >> 11) as f64 / (1u64 << 53) as f64 + 1e-17
}

/// Returns the homes of a chunk in order of rank. Larger invokers are home to more chunks.
pub fn homes(chunk: &Digest, members: &[Member]) -> Vec<InvokerId> {
    let prefix = chunk.prefix();
    let mut best: Vec<(f64, InvokerId)> = Vec::with_capacity(HOMES_PER_CHUNK + 1);
    for member in members.iter().filter(|m| {
        m.ready && (m.capacity_share >= 1.0 || unit_hash(prefix, m.invoker, 77) < m.capacity_share)
    }) {
        let score = -unit_hash(prefix, member.invoker, 0).ln() / member.size.max(0.01);
        let position = best.partition_point(|b| (b.0, b.1) < (score, member.invoker));
        if position < HOMES_PER_CHUNK {
            best.insert(position, (score, member.invoker));
            best.truncate(HOMES_PER_CHUNK);
        }
    }
    best.into_iter().map(|(_, invoker)| invoker).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(n: u32) -> Vec<Member> {
        (1..=n)
            .map(|invoker| Member {
                invoker,
                size: 1.0,
                capacity_share: 1.0,
                ready: true,
            })
            .collect()
    }

    fn chunks(n: u32) -> Vec<Digest> {
        (0..n).map(|i| Digest::of(&i.to_le_bytes())).collect()
    }

    #[test]
    fn removing_an_invoker_moves_only_its_chunks_and_load_is_even() {
        let (all, mut fewer) = (members(20), members(20));
        fewer[6].ready = false;
        let mut chunk_counts = [0; 21];
        for chunk in chunks(4_000) {
            let (before, after) = (homes(&chunk, &all), homes(&chunk, &fewer));
            before.iter().for_each(|i| chunk_counts[*i as usize] += 1);
            if !before.contains(&7) {
                assert_eq!(before, after);
            } else {
                let kept: Vec<InvokerId> = before.into_iter().filter(|i| *i != 7).collect();
                assert!(kept.iter().all(|i| after.contains(i)) && !after.contains(&7));
            }
        }
        assert!(
            chunk_counts[1..].iter().all(|n| (320..480).contains(n)),
            "mean of 400 chunks each: {chunk_counts:?}"
        );
    }

    #[test]
    fn warming_invoker_gains_chunks_gradually_and_keeps_them() {
        let mut before = 0;
        let mut previous: Vec<Digest> = Vec::new();
        for capacity_share in [0.0, 0.2, 0.6, 1.0] {
            let mut all = members(10);
            all[3].capacity_share = capacity_share;
            let now: Vec<Digest> = chunks(2_000)
                .into_iter()
                .filter(|c| homes(c, &all).contains(&4))
                .collect();
            assert!(previous.iter().all(|c| now.contains(c)));
            assert!(
                now.len() > before || capacity_share == 0.0,
                "{capacity_share}: {}",
                now.len()
            );
            assert!(
                now.len() as f64 <= 400.0 * capacity_share * 1.3 + 1.0,
                "{capacity_share}: {}",
                now.len()
            );
            (before, previous) = (now.len(), now);
        }
    }
}
