//! Stores runs as Parquet files with one row per invocation; the footer contains the origin and the summary of the run.
//!
//! A file is named after the run's key and the digest of its bytes once all of it is on the disk. Partial files
//! therefore have no such name, and a file that was damaged later is detected and its run repeated.

use crate::facts::{Facts, Row};
use arrow_array::builder::{BooleanBuilder, StringDictionaryBuilder, UInt32Builder, UInt64Builder};
use arrow_array::cast::AsArray;
use arrow_array::types::{Int32Type, UInt32Type, UInt64Type};
use arrow_array::{Array, ArrayRef, RecordBatch};
use parquet::arrow::ArrowWriter;
use parquet::arrow::arrow_reader::ParquetRecordBatchReaderBuilder;
use parquet::basic::{Compression, ZstdLevel};
use parquet::file::metadata::KeyValue;
use parquet::file::properties::WriterProperties;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Version of the columns and of [`RunOrigin`].
pub const VERSION: u32 = 1;
const VERSION_KEY: &str = "saltdrum.run";

/// Everything that identifies a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOrigin {
    pub key: String,
    pub variant: String,
    pub day: String,
    pub size: f64,
    pub seed: u64,
    /// The script as executed, with all changes of the variant.
    pub script: String,
    pub policy: String,
    pub version: String,
}

/// A stored run.
#[derive(Debug)]
pub struct Run {
    pub origin: RunOrigin,
    pub facts: Facts,
    pub rows: Vec<Row>,
}

/// A results file that cannot be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", file.display())]
pub struct ResultsError {
    pub file: PathBuf,
    pub reason: String,
}

fn encode(origin: &RunOrigin, facts: &Facts, rows: &[Row]) -> Result<Vec<u8>, String> {
    let text = |of: fn(&Row) -> &str| -> ArrayRef {
        let mut builder = StringDictionaryBuilder::<Int32Type>::new();
        rows.iter().for_each(|r| builder.append_value(of(r)));
        Arc::new(builder.finish())
    };
    let number = |of: fn(&Row) -> u32| -> ArrayRef {
        let mut builder = UInt32Builder::new();
        rows.iter().for_each(|r| builder.append_value(of(r)));
        Arc::new(builder.finish())
    };
    let (mut at, mut latency, mut in_time) = (
        UInt64Builder::new(),
        UInt64Builder::new(),
        BooleanBuilder::new(),
    );
    for row in rows {
        at.append_value(row.at * 100);
        latency.append_option(row.latency.map(|t| t * 100));
        in_time.append_value(row.in_time);
    }
    let batch = RecordBatch::try_from_iter_with_nullable([
        ("at_us", Arc::new(at.finish()) as ArrayRef, false),
        ("tenant", text(|r| &r.tenant), false),
        ("trigger", text(|r| &r.trigger), false),
        ("function", text(|r| &r.function), false),
        ("took_us", Arc::new(latency.finish()), true),
        ("how", text(|r| &r.outcome), false),
        ("in_time", Arc::new(in_time.finish()), false),
        ("tries", number(|r| r.attempts), false),
        ("invoker", number(|r| r.invoker), false),
    ])
    .map_err(|e| e.to_string())?;
    let json_error = |e: serde_json::Error| e.to_string();
    let metadata = vec![
        KeyValue::new(VERSION_KEY.into(), VERSION.to_string()),
        KeyValue::new(
            "saltdrum.made".into(),
            serde_json::to_string(origin).map_err(json_error)?,
        ),
        KeyValue::new(
            "saltdrum.facts".into(),
            serde_json::to_string(facts).map_err(json_error)?,
        ),
    ];
    let properties = WriterProperties::builder()
        .set_compression(Compression::ZSTD(ZstdLevel::default()))
        .set_key_value_metadata(Some(metadata))
        .build();
    let mut bytes = Vec::new();
    let mut writer = ArrowWriter::try_new(&mut bytes, batch.schema(), Some(properties))
        .map_err(|e| e.to_string())?;
    writer
        .write(&batch)
        .and_then(|()| writer.close().map(drop))
        .map_err(|e| e.to_string())?;
    Ok(bytes)
}

fn digest(bytes: &[u8]) -> String {
    blake3::hash(bytes).to_hex()[..16].to_owned()
}

/// Stores a run atomically. A failure leaves the other stored runs unchanged.
pub fn store(
    folder: &Path,
    origin: &RunOrigin,
    facts: &Facts,
    rows: &[Row],
) -> Result<(), ResultsError> {
    let partial = folder.join(format!("{}.half", origin.key));
    let error = |reason: String| ResultsError {
        file: partial.clone(),
        reason,
    };
    let bytes = encode(origin, facts, rows).map_err(error)?;
    let path = folder.join(format!("{}-{}.parquet", origin.key, digest(&bytes)));
    let result = (|| {
        let mut file = fs::File::create(&partial)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&partial, &path)
    })();
    result.map_err(|e| {
        let _ = fs::remove_file(&partial);
        error(e.to_string())
    })
}

/// Lists the intact runs of a folder by key, and the errors of the others.
pub fn scan(folder: &Path) -> Result<(BTreeMap<String, PathBuf>, Vec<ResultsError>), ResultsError> {
    let error = |e: std::io::Error| ResultsError {
        file: folder.to_owned(),
        reason: e.to_string(),
    };
    let (mut intact, mut unreadable) = (BTreeMap::new(), Vec::new());
    for entry in fs::read_dir(folder).map_err(error)? {
        let path = entry.map_err(error)?.path();
        if path.extension().is_none_or(|e| e != "parquet") {
            continue;
        }
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let Some((key, expected_digest)) = name.split_once('-') else {
            continue;
        };
        match fs::read(&path) {
            Ok(bytes) if digest(&bytes) == expected_digest => {
                drop(intact.insert(key.to_owned(), path))
            }
            Ok(_) => unreadable.push(ResultsError {
                file: path,
                reason: "damaged: the digest of its bytes does not match its name".into(),
            }),
            Err(e) => unreadable.push(ResultsError {
                file: path,
                reason: e.to_string(),
            }),
        }
    }
    unreadable.sort_by(|a, b| a.file.cmp(&b.file));
    Ok((intact, unreadable))
}

/// Reads a stored run.
pub fn read(path: &Path) -> Result<Run, ResultsError> {
    let error = |reason: &dyn std::fmt::Display| ResultsError {
        file: path.to_owned(),
        reason: reason.to_string(),
    };
    let file = fs::File::open(path).map_err(|e| error(&e))?;
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).map_err(|e| error(&e))?;
    let metadata = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .cloned()
        .unwrap_or_default();
    let value_of = |key: &str| {
        let value = metadata
            .iter()
            .find(|kv| kv.key == key)
            .and_then(|kv| kv.value.clone());
        value.ok_or_else(|| error(&format!("its footer has no {key}")))
    };
    let version = value_of(VERSION_KEY)?;
    if version != VERSION.to_string() {
        return Err(error(&format!(
            "run version {version} is not supported; the supported version is {VERSION}"
        )));
    }
    let origin = serde_json::from_str(&value_of("saltdrum.made")?).map_err(|e| error(&e))?;
    let facts = serde_json::from_str(&value_of("saltdrum.facts")?).map_err(|e| error(&e))?;
    let mut rows = Vec::new();
    for batch in reader.build().map_err(|e| error(&e))? {
        let batch = batch.map_err(|e| error(&e))?;
        let column = |name: &str| {
            batch
                .column_by_name(name)
                .ok_or_else(|| error(&format!("column '{name}' is missing")))
        };
        let type_error = |name: &str| error(&format!("column '{name}' has an unexpected type"));
        let text_column = |name: &str| -> Result<Vec<String>, ResultsError> {
            let dictionary = column(name)?
                .as_dictionary_opt::<Int32Type>()
                .ok_or_else(|| type_error(name))?;
            let values = dictionary
                .values()
                .as_string_opt::<i32>()
                .ok_or_else(|| type_error(name))?;
            let value = |k: Option<usize>| k.map_or(String::new(), |k| values.value(k).to_owned());
            Ok(dictionary.keys_iter().map(value).collect())
        };
        let u64_column = |name: &str| {
            column(name)?
                .as_primitive_opt::<UInt64Type>()
                .ok_or_else(|| type_error(name))
        };
        let u32_column = |name: &str| {
            column(name)?
                .as_primitive_opt::<UInt32Type>()
                .ok_or_else(|| type_error(name))
        };
        let (at, latency) = (u64_column("at_us")?, u64_column("took_us")?);
        let (attempts, invoker) = (u32_column("tries")?, u32_column("invoker")?);
        let in_time = column("in_time")?
            .as_boolean_opt()
            .ok_or_else(|| type_error("in_time"))?;
        let (tenant, trigger) = (text_column("tenant")?, text_column("trigger")?);
        let (function, outcome) = (text_column("function")?, text_column("how")?);
        for index in 0..batch.num_rows() {
            rows.push(Row {
                at: at.value(index) / 100,
                tenant: tenant[index].clone(),
                trigger: trigger[index].clone(),
                function: function[index].clone(),
                latency: (!latency.is_null(index)).then(|| latency.value(index) / 100),
                outcome: outcome[index].clone(),
                in_time: in_time.value(index),
                attempts: attempts.value(index),
                invoker: invoker.value(index),
            });
        }
    }
    Ok(Run {
        origin,
        facts,
        rows,
    })
}
