//! Stored fixture files, written by the version of the code with which later versions stay compatible.

use std::fs;
use std::path::{Path, PathBuf};

/// Environment variable that makes tests write the fixtures instead of comparing them.
const WRITE_VARIABLE: &str = "SALTDRUM_WRITE_FIXTURES";

/// The path of a fixture.
pub(crate) fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The contents of a fixture. Panics if it is missing.
pub(crate) fn read(name: &str) -> Vec<u8> {
    let path = path(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a fixture has exactly these contents, or writes it.
pub(crate) fn assert_equals(name: &str, actual: &[u8]) {
    let path = path(name);
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, actual).unwrap();
        return;
    }
    let stored = read(name);
    if stored == actual {
        return;
    }
    let (stored, actual) = (
        String::from_utf8_lossy(&stored),
        String::from_utf8_lossy(actual),
    );
    let mut pairs = stored.lines().zip(actual.lines()).enumerate();
    match pairs.find(|(_, (stored, actual))| stored != actual) {
        Some((line, (stored, actual))) => {
            panic!(
                "{name}:{}: expected\n  {stored}\nand got\n  {actual}",
                line + 1
            )
        }
        None => panic!(
            "{name}: {} lines, got {}",
            stored.lines().count(),
            actual.lines().count()
        ),
    }
}
