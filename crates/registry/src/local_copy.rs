//! A follower's copy of the state on disk, from which it goes on after a restart.

use crate::chain::{Entry, Head};
use saltdrum_durable::file;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A follower's copy of the state on disk: a head, then the entries since. It is rewritten when it has grown.
pub struct LocalCopy {
    path: PathBuf,
    file: File,
    entries: usize,
}

/// Entries after which the copy is rewritten.
const MAX_ENTRIES: usize = 4_096;

impl LocalCopy {
    /// The head as of the last complete line: an incomplete one was never applied. None: there is no copy.
    ///
    /// # Errors
    /// The file can't be read, or is not a copy.
    pub fn read(path: &Path) -> io::Result<Option<Head>> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let invalid = |why: String| io::Error::other(format!("{}: {why}", path.display()));
        let complete = text.rfind('\n').map_or("", |end| &text[..end]);
        let mut lines = complete.lines();
        let Some(first) = lines.next() else {
            return Err(invalid("the head is missing".into()));
        };
        let mut head: Head =
            serde_json::from_str(first).map_err(|error| invalid(format!("line 1: {error}")))?;
        for (index, line) in lines.enumerate() {
            let entry: Result<Entry, _> = serde_json::from_str(line);
            let next = entry
                .map_err(|error| error.to_string())
                .and_then(|e| head.with_entry(&e).map_err(|error| error.to_string()));
            head = next.map_err(|why| invalid(format!("line {}: {why}", index + 2)))?;
        }
        Ok(Some(head))
    }

    /// Replaces the copy by a head.
    pub fn write(path: &Path, head: &Head) -> io::Result<Self> {
        let mut line = serde_json::to_vec(head)?;
        line.push(b'\n');
        file::create_atomically(path, |unfinished| file::write_synced(unfinished, &line))?;
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Self {
            path: path.to_owned(),
            file,
            entries: 0,
        })
    }

    /// Adds an entry that leads to `head`; it is on disk when this returns.
    pub fn append(&mut self, entry: &Entry, head: &Head) -> io::Result<()> {
        if self.entries >= MAX_ENTRIES {
            *self = Self::write(&self.path, head)?;
            return Ok(());
        }
        let mut line = entry.bytes();
        line.push(b'\n');
        self.file.write_all(&line)?;
        self.file.sync_data()?;
        self.entries += 1;
        Ok(())
    }
}
