//! Recorded load as a Parquet file is written as it was when the fixture was written, and read back
//! the same.

#[path = "../../../tests/support/fixture_file.rs"]
mod fixture_file;

use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use saltdrum_load::mend::ClockCorrections;
use saltdrum_load::{TraceEntry, trace};
use std::collections::BTreeMap;
use std::fs::{self, File};

const FIXTURE: &str = "trace.parquet";
const COLUMNS: [&str; 5] = ["at_us", "tenant", "function", "work_us", "source"];

fn entry(at: u64, tenant: &str, function: &str, work: u64, source: &str) -> TraceEntry {
    let (tenant, function, source) = (tenant.into(), function.into(), source.into());
    TraceEntry {
        at,
        tenant,
        function,
        work,
        source,
    }
}

fn entries() -> Vec<TraceEntry> {
    vec![
        entry(0, "hill-museum", "voice-1", 1_101, "gate-1"),
        entry(37, "lake-gallery", "voice-2", 1_202, "gate-2"),
        entry(37, "hill-museum", "book – ü", 0, ""),
        entry(90_001, "craft-house", "voice-1", 600_000_007, "gate-1"),
    ]
}

fn made_by() -> [(&'static str, String); 3] {
    [
        ("script", "bad-day".into()),
        ("seed", "7".into()),
        ("version", "0.2.0".into()),
    ]
}

#[test]
fn a_trace_is_written_the_same() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("trace.parquet");
    trace::write(&path, &entries(), &made_by()).unwrap();
    fixture_file::assert_equals(FIXTURE, &fs::read(path).unwrap());
}

#[test]
fn a_stored_trace_is_read_as_what_was_written() {
    let read = trace::read(&fixture_file::path(FIXTURE), &BTreeMap::new()).unwrap();
    assert_eq!(read, (entries(), ClockCorrections::default()));
    assert_eq!(trace::VERSION, 1);
}

#[test]
fn a_stored_trace_has_columns_and_a_footer_that_other_tools_know() {
    let file = File::open(fixture_file::path(FIXTURE)).unwrap();
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).unwrap();
    let columns: Vec<(&str, String, bool)> = reader
        .schema()
        .fields()
        .iter()
        .map(|field| {
            (
                field.name().as_str(),
                field.data_type().to_string(),
                field.is_nullable(),
            )
        })
        .collect();
    let types = ["UInt64", "Utf8", "Utf8", "UInt64", "Utf8"];
    let expected = COLUMNS
        .iter()
        .zip(types)
        .map(|(name, kind)| (*name, kind.to_owned(), false));
    assert_eq!(columns, expected.collect::<Vec<_>>());
    let footer = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .unwrap();
    let said: Vec<(&str, &str)> = footer
        .iter()
        .map(|pair| (pair.key.as_str(), pair.value.as_deref().unwrap_or_default()))
        .filter(|(key, _)| key.starts_with("saltdrum."))
        .collect();
    let digest = "saltdrum.digest";
    let keys: Vec<&str> = said.iter().map(|(key, _)| *key).collect();
    assert_eq!(
        keys,
        [
            "saltdrum.trace",
            digest,
            "saltdrum.script",
            "saltdrum.seed",
            "saltdrum.version"
        ]
    );
    let values: Vec<&str> = said
        .iter()
        .filter(|(key, _)| *key != digest)
        .map(|(_, value)| *value)
        .collect();
    assert_eq!(values, ["1", "bad-day", "7", "0.2.0"]);
    assert_eq!(said[1].1.len(), 64, "a digest of 32 bytes");
}
