//! Stored fixtures, written by the build that they are to stay compatible with.

use std::fs;
use std::path::{Path, PathBuf};

/// When this environment variable is set, fixtures are written in place of being compared.
const WRITE: &str = "SALTDRUM_WRITE_FIXTURES";

/// Where a fixture is stored.
pub(crate) fn path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// The bytes of a fixture; a missing one is a failure.
pub(crate) fn read(name: &str) -> Vec<u8> {
    let path = path(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Asserts that a fixture holds exactly these bytes, or writes it.
pub(crate) fn assert_equals(name: &str, actual: &[u8]) {
    let path = path(name);
    if std::env::var_os(WRITE).is_some() {
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
