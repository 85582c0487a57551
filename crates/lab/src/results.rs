//! Runs as Parquet files: a row an invocation, and in the footer what made it and what came of it.
//!
//! A file takes its name, key and digest of its bytes, when all of it is on the disk: one that is there is whole, and
//! one that was damaged since is found out and played again.

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

/// What made a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOrigin {
    pub key: String,
    pub variant: String,
    pub day: String,
    pub size: f64,
    pub seed: u64,
    /// As it was played, changes and all.
    pub script: String,
    pub policy: String,
    pub version: String,
}

/// A run that was read back.
#[derive(Debug)]
pub struct Run {
    pub origin: RunOrigin,
    pub facts: Facts,
    pub rows: Vec<Row>,
}

/// What is wrong with a results file.
#[derive(Debug, thiserror::Error)]
#[error("{}: {reason}", file.display())]
pub struct ResultsError {
    pub file: PathBuf,
    pub reason: String,
}

fn bytes_of(made: &RunOrigin, facts: &Facts, rows: &[Row]) -> Result<Vec<u8>, String> {
    let text = |of: fn(&Row) -> &str| -> ArrayRef {
        let mut b = StringDictionaryBuilder::<Int32Type>::new();
        rows.iter().for_each(|r| b.append_value(of(r)));
        Arc::new(b.finish())
    };
    let number = |of: fn(&Row) -> u32| -> ArrayRef {
        let mut b = UInt32Builder::new();
        rows.iter().for_each(|r| b.append_value(of(r)));
        Arc::new(b.finish())
    };
    let (mut at, mut took, mut in_time) = (
        UInt64Builder::new(),
        UInt64Builder::new(),
        BooleanBuilder::new(),
    );
    for r in rows {
        at.append_value(r.at * 100);
        took.append_option(r.latency.map(|t| t * 100));
        in_time.append_value(r.in_time);
    }
    let batch = RecordBatch::try_from_iter_with_nullable([
        ("at_us", Arc::new(at.finish()) as ArrayRef, false),
        ("tenant", text(|r| &r.tenant), false),
        ("trigger", text(|r| &r.trigger), false),
        ("function", text(|r| &r.function), false),
        ("took_us", Arc::new(took.finish()), true),
        ("how", text(|r| &r.outcome), false),
        ("in_time", Arc::new(in_time.finish()), false),
        ("tries", number(|r| r.attempts), false),
        ("invoker", number(|r| r.invoker), false),
    ])
    .map_err(|e| e.to_string())?;
    let json = |e: serde_json::Error| e.to_string();
    let said = vec![
        KeyValue::new(VERSION_KEY.into(), VERSION.to_string()),
        KeyValue::new(
            "saltdrum.made".into(),
            serde_json::to_string(made).map_err(json)?,
        ),
        KeyValue::new(
            "saltdrum.facts".into(),
            serde_json::to_string(facts).map_err(json)?,
        ),
    ];
    let properties = WriterProperties::builder()
        .set_compression(Compression::ZSTD(ZstdLevel::default()))
        .set_key_value_metadata(Some(said))
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

/// Keeps a run. Whatever goes wrong, runs that are there stay as they are.
pub fn store(
    folder: &Path,
    made: &RunOrigin,
    facts: &Facts,
    rows: &[Row],
) -> Result<(), ResultsError> {
    let half = folder.join(format!("{}.half", made.key));
    let fault = |why: String| ResultsError {
        file: half.clone(),
        reason: why,
    };
    let bytes = bytes_of(made, facts, rows).map_err(fault)?;
    let path = folder.join(format!("{}-{}.parquet", made.key, digest(&bytes)));
    let kept = (|| {
        let mut file = fs::File::create(&half)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&half, &path)
    })();
    kept.map_err(|e| {
        let _ = fs::remove_file(&half);
        fault(e.to_string())
    })
}

/// Runs in a folder that are whole, by key; and what is wrong with others.
pub fn scan(folder: &Path) -> Result<(BTreeMap<String, PathBuf>, Vec<ResultsError>), ResultsError> {
    let fault = |e: std::io::Error| ResultsError {
        file: folder.to_owned(),
        reason: e.to_string(),
    };
    let (mut whole, mut bad) = (BTreeMap::new(), Vec::new());
    for entry in fs::read_dir(folder).map_err(fault)? {
        let path = entry.map_err(fault)?.path();
        if path.extension().is_none_or(|e| e != "parquet") {
            continue;
        }
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        let Some((key, said)) = name.split_once('-') else {
            continue;
        };
        match fs::read(&path) {
            Ok(bytes) if digest(&bytes) == said => drop(whole.insert(key.to_owned(), path)),
            Ok(_) => bad.push(ResultsError {
                file: path,
                reason: "damaged: its bytes are not those its name says".into(),
            }),
            Err(e) => bad.push(ResultsError {
                file: path,
                reason: e.to_string(),
            }),
        }
    }
    bad.sort_by(|a, b| a.file.cmp(&b.file));
    Ok((whole, bad))
}

/// Reads a run back.
pub fn read(path: &Path) -> Result<Run, ResultsError> {
    let fault = |why: &dyn std::fmt::Display| ResultsError {
        file: path.to_owned(),
        reason: why.to_string(),
    };
    let file = fs::File::open(path).map_err(|e| fault(&e))?;
    let reader = ParquetRecordBatchReaderBuilder::try_new(file).map_err(|e| fault(&e))?;
    let said = reader
        .metadata()
        .file_metadata()
        .key_value_metadata()
        .cloned()
        .unwrap_or_default();
    let said = |key: &str| {
        let found = said
            .iter()
            .find(|kv| kv.key == key)
            .and_then(|kv| kv.value.clone());
        found.ok_or_else(|| fault(&format!("its footer says no {key}")))
    };
    let version = said(VERSION_KEY)?;
    if version != VERSION.to_string() {
        return Err(fault(&format!(
            "run version {version}: {VERSION} is known here"
        )));
    }
    let made = serde_json::from_str(&said("saltdrum.made")?).map_err(|e| fault(&e))?;
    let facts = serde_json::from_str(&said("saltdrum.facts")?).map_err(|e| fault(&e))?;
    let mut rows = Vec::new();
    for batch in reader.build().map_err(|e| fault(&e))? {
        let batch = batch.map_err(|e| fault(&e))?;
        let column = |name: &str| {
            batch
                .column_by_name(name)
                .ok_or_else(|| fault(&format!("column '{name}' is missing")))
        };
        let wrong = |name: &str| {
            fault(&format!(
                "column '{name}' is of another type than is expected"
            ))
        };
        let text = |name: &str| -> Result<Vec<String>, ResultsError> {
            let c = column(name)?
                .as_dictionary_opt::<Int32Type>()
                .ok_or_else(|| wrong(name))?;
            let words = c
                .values()
                .as_string_opt::<i32>()
                .ok_or_else(|| wrong(name))?;
            let word = |k: Option<usize>| k.map_or(String::new(), |k| words.value(k).to_owned());
            Ok(c.keys_iter().map(word).collect())
        };
        let long = |name: &str| {
            column(name)?
                .as_primitive_opt::<UInt64Type>()
                .ok_or_else(|| wrong(name))
        };
        let short = |name: &str| {
            column(name)?
                .as_primitive_opt::<UInt32Type>()
                .ok_or_else(|| wrong(name))
        };
        let (at, took) = (long("at_us")?, long("took_us")?);
        let (tries, invoker) = (short("tries")?, short("invoker")?);
        let in_time = column("in_time")?
            .as_boolean_opt()
            .ok_or_else(|| wrong("in_time"))?;
        let (tenant, trigger) = (text("tenant")?, text("trigger")?);
        let (function, how) = (text("function")?, text("how")?);
        for n in 0..batch.num_rows() {
            rows.push(Row {
                at: at.value(n) / 100,
                tenant: tenant[n].clone(),
                trigger: trigger[n].clone(),
                function: function[n].clone(),
                latency: (!took.is_null(n)).then(|| took.value(n) / 100),
                outcome: how[n].clone(),
                in_time: in_time.value(n),
                attempts: tries.value(n),
                invoker: invoker.value(n),
            });
        }
    }
    Ok(Run {
        origin: made,
        facts,
        rows,
    })
}
