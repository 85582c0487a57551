//! Fixtures: what the build of the day they were written encoded, kept under `tests/fixtures`.
//!
//! With `SALTDRUM_WRITE_FIXTURES` set the fixtures are written. Otherwise they are compared, and a missing one is a
//! failure. Shared by the fixture tests of several packages; paths are those of the package that includes it.

#![allow(dead_code, reason = "each package uses a part of it")]

use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::fs;
use std::path::{Path, PathBuf};

/// Whether fixtures are written instead of compared.
pub(crate) fn is_writing() -> bool {
    std::env::var_os("SALTDRUM_WRITE_FIXTURES").is_some()
}

/// Where a fixture of this package lies.
pub(crate) fn fixture_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// An empty folder of this package's tests. `name` differs for each test.
pub(crate) fn scratch_folder(name: &str) -> PathBuf {
    let package = env!("CARGO_PKG_NAME");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{package}-{name}"));
    if folder.exists() {
        fs::remove_dir_all(&folder).unwrap();
    }
    fs::create_dir_all(&folder).unwrap();
    folder
}

/// All files below a folder, by their path in it.
pub(crate) fn files_below(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(folder).unwrap() {
        let entry = entry.unwrap();
        let name = entry.file_name().into_string().unwrap();
        if entry.file_type().unwrap().is_dir() {
            let inner = files_below(&entry.path());
            files.extend(
                inner
                    .into_iter()
                    .map(|(path, bytes)| (format!("{name}/{path}"), bytes)),
            );
        } else {
            files.insert(name, fs::read(entry.path()).unwrap());
        }
    }
    files
}

/// Copies a folder with all that is in it.
pub(crate) fn copy_folder(from: &Path, to: &Path) {
    for (path, bytes) in files_below(from) {
        let file = to.join(path);
        fs::create_dir_all(file.parent().unwrap()).unwrap();
        fs::write(file, bytes).unwrap();
    }
}

/// Stores a file or folder as a fixture if fixtures are written, and gives a copy of the fixture to work on.
pub(crate) fn stored_copy(name: &str, written: &Path, scratch: &Path) -> PathBuf {
    let (fixture, copy) = (fixture_path(name), scratch.join("stored"));
    if is_writing() {
        if fixture.is_dir() {
            fs::remove_dir_all(&fixture).unwrap();
        }
        copy_path(written, &fixture);
    }
    assert!(fixture.exists(), "fixture {} is missing", fixture.display());
    copy_path(&fixture, &copy);
    copy
}

fn copy_path(from: &Path, to: &Path) {
    if from.is_dir() {
        return copy_folder(from, to);
    }
    fs::create_dir_all(to.parent().unwrap()).unwrap();
    fs::copy(from, to).unwrap();
}

/// A fixture file of lines `name text`.
pub(crate) struct FixtureLines {
    file: PathBuf,
    stored: BTreeMap<String, String>,
    checked: Vec<(String, String)>,
}

impl FixtureLines {
    /// Opens the file of this name.
    pub(crate) fn open(name: &str) -> Self {
        let file = fixture_path(name);
        let mut stored = BTreeMap::new();
        if !is_writing() {
            let text = fs::read_to_string(&file);
            let text = text.unwrap_or_else(|why| panic!("fixture {}: {why}", file.display()));
            for line in text.lines() {
                let (name, text) = line.split_once(' ').unwrap();
                stored.insert(name.to_owned(), text.to_owned());
            }
        }
        Self {
            file,
            stored,
            checked: Vec::new(),
        }
    }

    /// Compares a text with the stored one of this name, and gives the stored one.
    pub(crate) fn check_text(&mut self, name: &str, text: &str) -> String {
        assert!(
            !name.contains(' ') && !text.contains('\n'),
            "{name}: one line is expected"
        );
        assert!(
            self.checked.iter().all(|(known, _)| known != name),
            "{name}: used twice"
        );
        if !is_writing() {
            let stored = self.stored.get(name);
            let stored =
                stored.unwrap_or_else(|| panic!("{}: {name} is missing", self.file.display()));
            assert_eq!(text, stored, "{}: {name}", self.file.display());
        }
        self.checked.push((name.to_owned(), text.to_owned()));
        text.to_owned()
    }

    /// Compares a value's JSON with the stored one, and reads the stored one back as the same value.
    pub(crate) fn check_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let stored = self.check_text(name, &serde_json::to_string(value).unwrap());
        let read: T = serde_json::from_str(&stored).unwrap();
        assert_eq!(read, *value, "{name}: read back");
    }

    /// The same for types that can't be compared otherwise than by all that their debug output shows.
    pub(crate) fn check_json_by_debug<T: Serialize + DeserializeOwned + Debug>(
        &mut self,
        name: &str,
        value: &T,
    ) {
        let stored = self.check_text(name, &serde_json::to_string(value).unwrap());
        let read: T = serde_json::from_str(&stored).unwrap();
        assert_eq!(
            format!("{read:?}"),
            format!("{value:?}"),
            "{name}: read back"
        );
    }

    /// Writes the file, or makes sure that nothing is stored that was not checked.
    pub(crate) fn finish(self) {
        if is_writing() {
            fs::create_dir_all(self.file.parent().unwrap()).unwrap();
            let lines = self
                .checked
                .iter()
                .map(|(name, text)| format!("{name} {text}\n"));
            return fs::write(&self.file, lines.collect::<String>()).unwrap();
        }
        let is_checked = |name: &String| self.checked.iter().any(|(checked, _)| checked == name);
        let unused: Vec<_> = self
            .stored
            .keys()
            .filter(|name| !is_checked(name))
            .collect();
        assert!(
            unused.is_empty(),
            "{}: not checked: {unused:?}",
            self.file.display()
        );
    }
}
