//! Recorded load as a Parquet file with one row per invocation, in order of time.

use crate::mend::{ClockCorrections, correct_clocks};
use arrow_array::cast::AsArray;
use arrow_array::types::UInt64Type;
use arrow_array::{Array, ArrayRef, RecordBatch, StringArray, UInt64Array};
use parquet::arrow::ArrowWriter;
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use parquet::basic::{Compression, ZstdLevel};
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use saltdrum::interface::Ticks;
use std::collections::BTreeMap;
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// Version of the columns written by [`write`].
pub const VERSION: u32 = 1;
const VERSION_KEY: &str = "saltdrum.trace";
/// Key of the digest of the entries: Parquet readers accept damaged pages without an error.
const DIGEST_KEY: &str = "saltdrum.digest";

/// One recorded or scheduled invocation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceEntry {
    pub at: Ticks,
    pub tenant: String,
    pub function: String,
    pub work: Ticks,
    /// The host whose clock recorded the time.
    pub source: String,
}

/// A trace file that cannot be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {reason}")]
pub struct TraceError {
    pub file: String,
    pub reason: String,
}

fn trace_error(path: &Path, reason: impl ToString) -> TraceError {
    TraceError {
        file: path.display().to_string(),
        reason: reason.to_string(),
    }
}

fn digest(entries: &[TraceEntry]) -> String {
    let mut hasher = blake3::Hasher::new();
    for entry in entries {
        for text in [&entry.tenant, &entry.function, &entry.source] {
            hasher
                .update(&(text.len() as u64).to_le_bytes())
                .update(text.as_bytes());
        }
        hasher
            .update(&entry.at.to_le_bytes())
            .update(&entry.work.to_le_bytes());
    }
    hasher.finalize().to_hex().to_string()
}

/// Writes a trace atomically: the file gets its name after all of it was flushed to the disk. `made_by` is added to the
/// file's metadata.
pub fn write(
    path: &Path,
    entries: &[TraceEntry],
    made_by: &[(&str, String)],
) -> Result<(), TraceError> {
    let error = |e: &dyn std::fmt::Display| trace_error(path, e);
    let text = |of: fn(&TraceEntry) -> &str| -> ArrayRef {
        Arc::new(entries.iter().map(|e| Some(of(e))).collect::<StringArray>())
    };
    // Other tools expect whole microseconds.
    let micros = |of: fn(&TraceEntry) -> Ticks| -> ArrayRef {
        Arc::new(entries.iter().map(|e| of(e) * 100).collect::<UInt64Array>())
    };
    let columns = [
        ("at_us", micros(|e| e.at)),
        ("tenant", text(|e| &e.tenant)),
        ("function", text(|e| &e.function)),
        ("work_us", micros(|e| e.work)),
        ("source", text(|e| &e.source)),
    ];
    let batch = RecordBatch::try_from_iter(columns).map_err(|e| error(&e))?;
    let mut metadata = vec![KeyValue::new(VERSION_KEY.into(), VERSION.to_string())];
    metadata.push(KeyValue::new(DIGEST_KEY.into(), digest(entries)));
    metadata.extend(
        made_by
            .iter()
            .map(|(k, v)| KeyValue::new(format!("saltdrum.{k}"), v.clone())),
    );
    let properties = WriterProperties::builder()
        .set_compression(Compression::ZSTD(ZstdLevel::default()))
        .set_key_value_metadata(Some(metadata))
        .build();
    let partial = path.with_extension("half");
    let result = (|| {
        let file = File::create(&partial).map_err(|e| e.to_string())?;
        let mut writer = ArrowWriter::try_new(file, batch.schema(), Some(properties))
            .map_err(|e| e.to_string())?;
        writer.write(&batch).map_err(|e| e.to_string())?;
        let file = writer.into_inner().map_err(|e| e.to_string())?;
        file.sync_all().map_err(|e| e.to_string())?;
        std::fs::rename(&partial, path).map_err(|e| e.to_string())
    })();
    result.map_err(|e| {
        let _ = std::fs::remove_file(&partial);
        error(&e)
    })
}

/// Reads a trace and returns its entries in order of time on one clock. `ahead` lists the sources whose clocks are
/// known to be ahead, with their offsets.
pub fn read(
    path: &Path,
    ahead: &BTreeMap<String, Ticks>,
) -> Result<(Vec<TraceEntry>, ClockCorrections), TraceError> {
    let error = |e: &dyn std::fmt::Display| trace_error(path, e);
    let file = File::open(path).map_err(|e| error(&e))?;
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).map_err(|e| error(&e))?;
    let metadata = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .cloned()
        .unwrap_or_default();
    let value_of = |key: &str| {
        metadata
            .iter()
            .find(|kv| kv.key == key)
            .and_then(|kv| kv.value.clone())
    };
    let (version, expected_digest) = (value_of(VERSION_KEY), value_of(DIGEST_KEY));
    // Traces written by other tools have no version; their columns are checked below.
    if let Some(version) = version
        .as_deref()
        .filter(|v| v.parse::<u32>().map_or(true, |v| v > VERSION))
    {
        return Err(trace_error(
            path,
            format!(
                "trace version {version} is not supported; the latest supported version is {VERSION}"
            ),
        ));
    }
    let (mut entries, mut first_row) = (Vec::new(), 0);
    for batch in reader.build().map_err(|e| error(&e))? {
        let batch = batch.map_err(|e| trace_error(path, format!("after row {first_row}: {e}")))?;
        let column = |name: &str| {
            batch
                .column_by_name(name)
                .ok_or_else(|| trace_error(path, format!("column '{name}' is missing")))
        };
        let number = |name: &str| -> Result<UInt64Array, TraceError> {
            let column = column(name)?;
            let data_type = column.data_type().clone();
            let numbers = column.as_primitive_opt::<UInt64Type>().cloned();
            numbers.ok_or_else(|| {
                trace_error(
                    path,
                    format!("column '{name}' has type {data_type}; expected UInt64"),
                )
            })
        };
        let text = |name: &str| -> Result<StringArray, TraceError> {
            let column = column(name)?;
            let data_type = column.data_type().clone();
            let texts = column.as_string_opt::<i32>().cloned();
            texts.ok_or_else(|| {
                trace_error(
                    path,
                    format!("column '{name}' has type {data_type}; expected Utf8"),
                )
            })
        };
        let (at, work) = (number("at_us")?, number("work_us")?);
        let (tenant, function) = (text("tenant")?, text("function")?);
        let source = batch
            .column_by_name("source")
            .and_then(|c| c.as_string_opt::<i32>().cloned());
        for n in 0..batch.num_rows() {
            let row = first_row + n;
            if at.is_null(n) || work.is_null(n) || tenant.is_null(n) || function.is_null(n) {
                return Err(trace_error(path, format!("row {row}: a value is missing")));
            }
            let source = source
                .as_ref()
                .filter(|s| !s.is_null(n))
                .map(|s| s.value(n).to_owned());
            entries.push(TraceEntry {
                at: at.value(n) / 100,
                tenant: tenant.value(n).to_owned(),
                function: function.value(n).to_owned(),
                work: work.value(n) / 100,
                source: source.unwrap_or_default(),
            });
        }
        first_row += batch.num_rows();
    }
    if expected_digest.is_some_and(|expected| expected != digest(&entries)) {
        return Err(trace_error(
            path,
            "damaged: the digest of the rows does not match the one in the file",
        ));
    }
    let mut rows: Vec<(String, Ticks)> = entries.iter().map(|e| (e.source.clone(), e.at)).collect();
    let corrections = correct_clocks(&mut rows, ahead);
    entries
        .iter_mut()
        .zip(rows)
        .for_each(|(e, (_, at))| e.at = at);
    entries.sort_by_key(|e| e.at);
    Ok((entries, corrections))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sample_entries() -> Vec<TraceEntry> {
        let entry = |n: u64| TraceEntry {
            at: n * 37,
            tenant: format!("tenant-{}", n % 3),
            function: "voice".into(),
            work: 900 + n,
            source: "gate".into(),
        };
        (0..5_000).map(entry).collect()
    }

    #[test]
    fn reads_back_what_was_written() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("trace.parquet");
        write(&path, &sample_entries(), &[("seed", "7".into())]).unwrap();
        assert_eq!(
            read(&path, &BTreeMap::new()).unwrap(),
            (sample_entries(), ClockCorrections::default())
        );
    }

    #[test]
    fn reports_an_unreadable_file_with_its_name_and_the_reason() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("trace.parquet");
        let read_error = |bytes: &[u8]| {
            std::fs::write(&path, bytes).unwrap();
            read(&path, &BTreeMap::new()).unwrap_err().to_string()
        };
        write(&path, &sample_entries(), &[]).unwrap();
        let whole = std::fs::read(&path).unwrap();
        let truncated = read_error(&whole[..whole.len() / 2]);
        assert!(
            truncated.contains("trace.parquet: Parquet error"),
            "{truncated}"
        );
        let mut damaged = whole.clone();
        damaged[600..900].fill(0xee);
        let damaged = read_error(&damaged);
        assert!(damaged.contains("trace.parquet: damaged"), "{damaged}");
        let incomplete = RecordBatch::try_from_iter([(
            "at_us",
            Arc::new(UInt64Array::from(vec![1])) as ArrayRef,
        )])
        .unwrap();
        let metadata = vec![KeyValue::new(VERSION_KEY.into(), "2".to_owned())];
        let file_with = |metadata| {
            let properties = WriterProperties::builder()
                .set_key_value_metadata(metadata)
                .build();
            let mut bytes = Vec::new();
            let mut writer =
                ArrowWriter::try_new(&mut bytes, incomplete.schema(), Some(properties)).unwrap();
            writer.write(&incomplete).unwrap();
            writer.close().unwrap();
            bytes
        };
        let later_version = read_error(&file_with(Some(metadata)));
        assert!(
            later_version
                .contains("trace version 2 is not supported; the latest supported version is 1"),
            "{later_version}"
        );
        let missing_column = read_error(&file_with(None));
        assert!(
            missing_column.contains("column 'work_us' is missing"),
            "{missing_column}"
        );
    }
}
