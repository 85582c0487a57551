use super::*;

fn digest(n: u32) -> Digest {
    Digest::of(&n.to_le_bytes())
}

fn chunk(bytes: u64, cost: f64, sharers: u32) -> CachedChunk {
    CachedChunk {
        bytes,
        cost,
        sharers,
    }
}

#[test]
fn keeps_expensive_shared_and_recently_used_chunks() {
    let mut policy = EvictionPolicy::new(5_000_000);
    policy
        .admit(digest(0), chunk(1_000_000, STORE_COST_FACTOR, 1))
        .unwrap();
    policy.admit(digest(1), chunk(1_000_000, 1.0, 3)).unwrap();
    (2..40).for_each(|n| {
        policy.admit(digest(n), chunk(1_000_000, 1.0, 1));
        policy.touch(&digest(2));
    });
    assert!(policy.contains(&digest(2)), "used throughout");
    assert!(!policy.contains(&digest(3)));
    let mut policy = EvictionPolicy::new(3_000_000);
    policy
        .admit(digest(0), chunk(1_000_000, STORE_COST_FACTOR, 1))
        .unwrap();
    policy.admit(digest(1), chunk(1_000_000, 1.0, 4)).unwrap();
    for n in 2..4 {
        assert!(policy.admit(digest(n), chunk(1_000_000, 1.0, 1)).is_some());
    }
    assert!(
        policy.contains(&digest(0)) && policy.contains(&digest(1)) && !policy.contains(&digest(2))
    );
}

#[test]
fn never_evicts_pinned_chunks_and_ages_out_unused_ones() {
    let mut policy = EvictionPolicy::new(3_000_000);
    for n in 0..3 {
        policy.admit(digest(n), chunk(1_000_000, 1.0, 1)).unwrap();
        policy.pin(&digest(n));
    }
    assert_eq!(policy.admit(digest(9), chunk(1_000_000, 99.0, 9)), None);
    policy.unpin(&digest(1));
    assert_eq!(
        policy.admit(digest(9), chunk(1_000_000, 99.0, 1)),
        Some(vec![digest(1)])
    );
    policy.unpin(&digest(0));
    let mut expensive_evicted_at = None;
    for n in 10..2_000 {
        policy.admit(digest(n), chunk(1_000_000, 1.0, 1));
        if !policy.contains(&digest(9)) {
            expensive_evicted_at = Some(n);
            break;
        }
    }
    assert!(
        expensive_evicted_at.is_some_and(|n| n > 60),
        "{expensive_evicted_at:?}: expensive but unused"
    );
}

/// Random operations: the tracked size equals the sum over the entries and stays within the bound.
#[test]
fn tracked_bytes_match_the_entries_and_stay_bounded() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut policy = EvictionPolicy::new(2_000_000);
    let mut pinned = std::collections::BTreeSet::new();
    for _ in 0..20_000 {
        let picked = digest(rng.u32(..200));
        match rng.u32(..6) {
            0 => policy.touch(&picked),
            1 if policy.contains(&picked) && pinned.len() < 5 && pinned.insert(picked) => {
                policy.pin(&picked)
            }
            2 if pinned.remove(&picked) => policy.unpin(&picked),
            3 if !pinned.contains(&picked) => policy.remove(&picked),
            _ => {
                let chunk = chunk(rng.u64(1..400_000), rng.f64() * 8.0 + 0.1, rng.u32(0..5));
                let evicted = policy.admit(picked, chunk).unwrap_or_default();
                assert!(
                    evicted
                        .iter()
                        .all(|g| !pinned.contains(g) && !policy.contains(g))
                );
            }
        }
        let sum: u64 = policy.entries.values().map(|e| e.chunk.bytes).sum();
        assert!(sum == policy.bytes() && sum <= 2_000_000);
        assert!(pinned.iter().all(|p| policy.contains(p)));
    }
}
