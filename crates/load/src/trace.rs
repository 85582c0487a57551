//! Recorded load as a Parquet file: one row an invocation, in order of time.

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

/// Version of the columns below.
pub const VERSION: u32 = 1;
const VERSION_KEY: &str = "saltdrum.trace";
/// Parquet itself reads damaged pages as if they were good.
const DIGEST_KEY: &str = "saltdrum.digest";

/// One invocation that came, or is to come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TraceEntry {
    pub at: Ticks,
    pub tenant: String,
    pub function: String,
    pub work: Ticks,
    /// Who wrote its time down.
    pub source: String,
}

/// What is wrong with a trace file, and where.
#[derive(Debug, thiserror::Error)]
#[error("{file}: {reason}")]
pub struct TraceError {
    pub file: String,
    pub reason: String,
}

fn fault(path: &Path, why: impl ToString) -> TraceError {
    TraceError {
        file: path.display().to_string(),
        reason: why.to_string(),
    }
}

fn digest(entries: &[TraceEntry]) -> String {
    let mut all = blake3::Hasher::new();
    for e in entries {
        for text in [&e.tenant, &e.function, &e.source] {
            all.update(&(text.len() as u64).to_le_bytes())
                .update(text.as_bytes());
        }
        all.update(&e.at.to_le_bytes())
            .update(&e.work.to_le_bytes());
    }
    all.finalize().to_hex().to_string()
}

/// Writes a trace whole or not at all: it takes its name when all of it is on the disk.
pub fn write(
    path: &Path,
    entries: &[TraceEntry],
    made_by: &[(&str, String)],
) -> Result<(), TraceError> {
    let bad = |e: &dyn std::fmt::Display| fault(path, e);
    let text = |of: fn(&TraceEntry) -> &str| -> ArrayRef {
        Arc::new(entries.iter().map(|e| Some(of(e))).collect::<StringArray>())
    };
    // Whole microseconds, as other tools have them.
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
    let batch = RecordBatch::try_from_iter(columns).map_err(|e| bad(&e))?;
    let mut said = vec![KeyValue::new(VERSION_KEY.into(), VERSION.to_string())];
    said.push(KeyValue::new(DIGEST_KEY.into(), digest(entries)));
    said.extend(
        made_by
            .iter()
            .map(|(k, v)| KeyValue::new(format!("saltdrum.{k}"), v.clone())),
    );
    let properties = WriterProperties::builder()
        .set_compression(Compression::ZSTD(ZstdLevel::default()))
        .set_key_value_metadata(Some(said))
        .build();
    let half = path.with_extension("half");
    let written = (|| {
        let file = File::create(&half).map_err(|e| e.to_string())?;
        let mut writer = ArrowWriter::try_new(file, batch.schema(), Some(properties))
            .map_err(|e| e.to_string())?;
        writer.write(&batch).map_err(|e| e.to_string())?;
        let file = writer.into_inner().map_err(|e| e.to_string())?;
        file.sync_all().map_err(|e| e.to_string())?;
        std::fs::rename(&half, path).map_err(|e| e.to_string())
    })();
    written.map_err(|e| {
        let _ = std::fs::remove_file(&half);
        bad(&e)
    })
}

/// Reads a trace, in order of time on one clock. `ahead` names sources whose clocks are known to be ahead.
pub fn read(
    path: &Path,
    ahead: &BTreeMap<String, Ticks>,
) -> Result<(Vec<TraceEntry>, ClockCorrections), TraceError> {
    let bad = |e: &dyn std::fmt::Display| fault(path, e);
    let file = File::open(path).map_err(|e| bad(&e))?;
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).map_err(|e| bad(&e))?;
    let said = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .cloned()
        .unwrap_or_default();
    let said = |key: &str| {
        said.iter()
            .find(|kv| kv.key == key)
            .and_then(|kv| kv.value.clone())
    };
    let (version, digested) = (said(VERSION_KEY), said(DIGEST_KEY));
    // A trace from elsewhere says no version; its columns tell whether it will do.
    if let Some(version) = version
        .as_deref()
        .filter(|v| v.parse::<u32>().map_or(true, |v| v > VERSION))
    {
        return Err(fault(
            path,
            format!("trace version {version}: {VERSION} is the latest known here"),
        ));
    }
    let (mut entries, mut base) = (Vec::new(), 0);
    for batch in reader.build().map_err(|e| bad(&e))? {
        let batch = batch.map_err(|e| fault(path, format!("after row {base}: {e}")))?;
        let column = |name: &str| {
            batch
                .column_by_name(name)
                .ok_or_else(|| fault(path, format!("column '{name}' is missing")))
        };
        let number = |name: &str| -> Result<UInt64Array, TraceError> {
            let c = column(name)?;
            let kind = c.data_type().clone();
            let c = c.as_primitive_opt::<UInt64Type>().cloned();
            c.ok_or_else(|| {
                fault(
                    path,
                    format!("column '{name}' is {kind}: UInt64 is expected"),
                )
            })
        };
        let text = |name: &str| -> Result<StringArray, TraceError> {
            let c = column(name)?;
            let kind = c.data_type().clone();
            let c = c.as_string_opt::<i32>().cloned();
            c.ok_or_else(|| fault(path, format!("column '{name}' is {kind}: Utf8 is expected")))
        };
        let (at, work) = (number("at_us")?, number("work_us")?);
        let (tenant, function) = (text("tenant")?, text("function")?);
        let source = batch
            .column_by_name("source")
            .and_then(|c| c.as_string_opt::<i32>().cloned());
        for n in 0..batch.num_rows() {
            let row = base + n;
            if at.is_null(n) || work.is_null(n) || tenant.is_null(n) || function.is_null(n) {
                return Err(fault(path, format!("row {row}: a value is missing")));
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
        base += batch.num_rows();
    }
    if digested.is_some_and(|said| said != digest(&entries)) {
        return Err(fault(path, "damaged: what is read is not what was written"));
    }
    let mut rows: Vec<(String, Ticks)> = entries.iter().map(|e| (e.source.clone(), e.at)).collect();
    let mended = correct_clocks(&mut rows, ahead);
    entries
        .iter_mut()
        .zip(rows)
        .for_each(|(e, (_, at))| e.at = at);
    entries.sort_by_key(|e| e.at);
    Ok((entries, mended))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn some() -> Vec<TraceEntry> {
        let one = |n: u64| TraceEntry {
            at: n * 37,
            tenant: format!("tenant-{}", n % 3),
            function: "voice".into(),
            work: 900 + n,
            source: "gate".into(),
        };
        (0..5_000).map(one).collect()
    }

    #[test]
    fn what_is_written_is_read() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("trace.parquet");
        write(&path, &some(), &[("seed", "7".into())]).unwrap();
        assert_eq!(
            read(&path, &BTreeMap::new()).unwrap(),
            (some(), ClockCorrections::default())
        );
    }

    #[test]
    fn a_bad_file_is_told_by_its_name_and_what_is_wrong() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("trace.parquet");
        let why = |bytes: &[u8]| {
            std::fs::write(&path, bytes).unwrap();
            read(&path, &BTreeMap::new()).unwrap_err().to_string()
        };
        write(&path, &some(), &[]).unwrap();
        let whole = std::fs::read(&path).unwrap();
        let cut = why(&whole[..whole.len() / 2]);
        assert!(cut.contains("trace.parquet: Parquet error"), "{cut}");
        let mut damaged = whole.clone();
        damaged[600..900].fill(0xee);
        let damaged = why(&damaged);
        assert!(damaged.contains("trace.parquet: damaged"), "{damaged}");
        let short = RecordBatch::try_from_iter([(
            "at_us",
            Arc::new(UInt64Array::from(vec![1])) as ArrayRef,
        )])
        .unwrap();
        let said = vec![KeyValue::new(VERSION_KEY.into(), "2".to_owned())];
        let later = |said| {
            let with = WriterProperties::builder()
                .set_key_value_metadata(said)
                .build();
            let mut bytes = Vec::new();
            let mut w = ArrowWriter::try_new(&mut bytes, short.schema(), Some(with)).unwrap();
            w.write(&short).unwrap();
            w.close().unwrap();
            bytes
        };
        let later_version = why(&later(Some(said)));
        assert!(
            later_version.contains("trace version 2: 1 is the latest known here"),
            "{later_version}"
        );
        let lacking = why(&later(None));
        assert!(lacking.contains("column 'work_us' is missing"), "{lacking}");
    }
}
