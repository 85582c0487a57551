//! Errors in the input.

use saltdrum_settings::SettingError;

/// Why the input can't be read, with the position where it applies.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub(crate) enum WireError {
    #[error("byte {at}: {field} needs {needed} bytes, {left} are left")]
    Truncated {
        at: usize,
        field: String,
        needed: usize,
        left: usize,
    },
    #[error("byte {at}: {field} is not a valid time: {found}")]
    NotATime {
        at: usize,
        field: String,
        found: f64,
    },
    #[error("frame header: input ends after {found} of {expected} bytes")]
    TruncatedHeader { found: usize, expected: usize },
    #[error("frame header: length {0} is shorter than the header")]
    ShortLength(usize),
    #[error("frame: input ends after {found} of {expected} bytes")]
    TruncatedFrame { found: usize, expected: usize },
    #[error("frame: input or output failed: {0}")]
    Read(String),
    #[error("input or output failed: {0}")]
    Write(String),
    #[error("byte {at}: {left} bytes after the last record")]
    TrailingBytes { at: usize, left: usize },
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    #[error("unknown instance {0}")]
    UnknownInstance(u32),
    #[error("unknown list form {0}")]
    UnknownListForm(u8),
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    #[error("unknown lifecycle {0}")]
    UnknownLifecycle(u8),
    #[error("lane {found}: only {known} classes are stated")]
    UnknownClass { found: usize, known: usize },
    #[error("settings: not UTF-8 at byte {0}")]
    NotUtf8(usize),
    #[error(transparent)]
    Setting(#[from] SettingError),
    #[error("record {number} at byte {at}: {error}")]
    Record {
        number: u32,
        at: usize,
        error: Box<WireError>,
    },
    #[error("frame {number}: {error}")]
    Frame { number: u64, error: Box<WireError> },
}
