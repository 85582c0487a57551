//! Whether passages were answered by one version each, by what the invokers ran. Knows nothing of the registry.

use saltdrum_fakes::record::Line;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Passages {
    pub passages: usize,
    /// With more than one invocation that ran.
    pub longer: usize,
    pub invocations: usize,
    /// Functions that spoke, over all.
    pub functions: usize,
    /// Passages in which more than one spoke, each in words.
    pub mixed: Vec<String>,
}

/// None where nothing belongs to a passage.
pub fn look(lines: &[Line]) -> Option<Passages> {
    let mut all = BTreeMap::<&str, Vec<(u64, u64, u32)>>::new();
    for line in lines {
        if let Line::PassageStep {
            at,
            invoker,
            function,
            passage,
            ..
        } = line
        {
            all.entry(passage)
                .or_default()
                .push((*at, *function, *invoker));
        }
    }
    if all.is_empty() {
        return None;
    }
    let mut found = Passages {
        passages: all.len(),
        ..Default::default()
    };
    let mut functions = std::collections::BTreeSet::new();
    for (passage, spoke) in all {
        found.invocations += spoke.len();
        found.longer += usize::from(spoke.len() > 1);
        functions.extend(spoke.iter().map(|s| s.1));
        let first = spoke[0];
        if let Some(other) = spoke.iter().find(|s| s.1 != first.1) {
            found.mixed.push(format!(
                "passage {passage}: function {} on invoker {} at {} ms, then function {} on invoker {} at {} ms",
                first.1,
                first.2,
                first.0 / 10,
                other.1,
                other.2,
                other.0 / 10
            ));
        }
    }
    found.functions = functions.len();
    Some(found)
}
