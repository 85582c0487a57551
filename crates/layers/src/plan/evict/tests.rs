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
fn the_dear_the_shared_and_the_lately_used_stay() {
    let mut s = EvictionPolicy::new(5_000_000);
    s.admit(digest(0), chunk(1_000_000, STORE_COST_FACTOR, 1))
        .unwrap();
    s.admit(digest(1), chunk(1_000_000, 1.0, 3)).unwrap();
    (2..40).for_each(|n| {
        s.admit(digest(n), chunk(1_000_000, 1.0, 1));
        s.touch(&digest(2));
    });
    assert!(s.contains(&digest(2)), "used all along");
    assert!(!s.contains(&digest(3)));
    let mut s = EvictionPolicy::new(3_000_000);
    s.admit(digest(0), chunk(1_000_000, STORE_COST_FACTOR, 1))
        .unwrap();
    s.admit(digest(1), chunk(1_000_000, 1.0, 4)).unwrap();
    for n in 2..4 {
        assert!(s.admit(digest(n), chunk(1_000_000, 1.0, 1)).is_some());
    }
    assert!(s.contains(&digest(0)) && s.contains(&digest(1)) && !s.contains(&digest(2)));
}

#[test]
fn what_is_in_use_never_goes_and_what_is_old_does_at_last() {
    let mut s = EvictionPolicy::new(3_000_000);
    for n in 0..3 {
        s.admit(digest(n), chunk(1_000_000, 1.0, 1)).unwrap();
        s.pin(&digest(n));
    }
    assert_eq!(s.admit(digest(9), chunk(1_000_000, 99.0, 9)), None);
    s.unpin(&digest(1));
    assert_eq!(
        s.admit(digest(9), chunk(1_000_000, 99.0, 1)),
        Some(vec![digest(1)])
    );
    s.unpin(&digest(0));
    let mut dear_went = None;
    for n in 10..2_000 {
        s.admit(digest(n), chunk(1_000_000, 1.0, 1));
        if !s.contains(&digest(9)) {
            dear_went = Some(n);
            break;
        }
    }
    assert!(
        dear_went.is_some_and(|n| n > 60),
        "{dear_went:?}: dear, but nobody wanted it any more"
    );
}

/// Whatever is asked of it: bytes add up and stay within the bound.
#[test]
fn the_books_add_up() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut s = EvictionPolicy::new(2_000_000);
    let mut pinned = std::collections::BTreeSet::new();
    for _ in 0..20_000 {
        let d = digest(rng.u32(..200));
        match rng.u32(..6) {
            0 => s.touch(&d),
            1 if s.contains(&d) && pinned.len() < 5 && pinned.insert(d) => s.pin(&d),
            2 if pinned.remove(&d) => s.unpin(&d),
            3 if !pinned.contains(&d) => s.remove(&d),
            _ => {
                let k = chunk(rng.u64(1..400_000), rng.f64() * 8.0 + 0.1, rng.u32(0..5));
                let gone = s.admit(d, k).unwrap_or_default();
                assert!(gone.iter().all(|g| !pinned.contains(g) && !s.contains(g)));
            }
        }
        let sum: u64 = s.entries.values().map(|e| e.chunk.bytes).sum();
        assert!(sum == s.bytes() && sum <= 2_000_000);
        assert!(pinned.iter().all(|p| s.contains(p)));
    }
}
