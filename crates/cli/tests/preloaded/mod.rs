//! Builds the fault injection library that tests preload into the processes they start.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the library in this folder and returns its path.
pub fn build_library(folder: &Path) -> PathBuf {
    let (source, library) = ("tests/faults/preload.rs", folder.join("libpreload.so"));
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join(source);
    let mut rustc = Command::new(std::env::var("RUSTC").unwrap_or_else(|_| "rustc".into()));
    rustc
        .args(["--edition", "2024", "--crate-type", "cdylib", "-o"])
        .arg(&library)
        .arg(source);
    assert!(
        rustc.status().unwrap().success(),
        "building the fault injection library failed"
    );
    library
}
