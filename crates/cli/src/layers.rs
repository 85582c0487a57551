//! `saltdrum layers`: folders of packed models, and the agent that fetches and serves them.

use clap::Subcommand;
use saltdrum_layers::Packing;
use saltdrum_layers::layout::Layout;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum LayersCommand {
    /// Splits a model's file into chunks and stores it under a tag.
    Pack {
        model: PathBuf,
        /// Folder of packed models, created if it does not exist.
        #[arg(long)]
        into: PathBuf,
        #[arg(long)]
        tag: String,
    },
    /// Reassembles a model's file from its chunks.
    Unpack {
        folder: PathBuf,
        tag: String,
        #[arg(long)]
        to: PathBuf,
    },
    /// Verifies every byte reachable from a tag.
    Verify { folder: PathBuf },
    /// Lists the tags, or the chunks of one.
    Show {
        folder: PathBuf,
        tag: Option<String>,
    },
    /// Fetches models for one invoker and serves cached chunks to peers, until interrupted.
    Agent {
        /// Number of the invoker in the list.
        #[arg(long)]
        me: u32,
        /// Address on which it serves peers; must be the agent's address in the list.
        #[arg(long)]
        listen: String,
        /// Address of a registry that speaks HTTP.
        #[arg(long)]
        store: String,
        #[arg(long)]
        list: String,
        /// Cache folder for chunks.
        #[arg(long)]
        folder: PathBuf,
        #[arg(long, default_value_t = 10_000)]
        cache_mb: u64,
        /// Address on which it serves `load` and `status`, as line-delimited JSON-RPC.
        #[arg(long)]
        door: String,
    },
    /// Shows how much data two models share.
    Diff {
        folder: PathBuf,
        first: String,
        second: String,
    },
}

/// Bytes in MB.
fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

/// Runs one subcommand of `saltdrum layers`. Exit codes: 0 done, 1 damaged data found.
pub fn run(command: &LayersCommand) -> Result<u8, String> {
    let open = |folder| Layout::open(folder).map_err(|e| e.to_string());
    let to_text = |e: saltdrum_layers::layout::LayoutError| e.to_string();
    match command {
        LayersCommand::Pack { model, into, tag } => {
            let manifest = open(into)?.pack(model, tag).map_err(to_text)?;
            let (bytes, stored) = (mb(manifest.bytes()), mb(manifest.stored_bytes()));
            println!(
                "{tag}: {} chunks, {bytes:.1} MB, {stored:.1} MB stored",
                manifest.chunks.len()
            );
        }
        LayersCommand::Unpack { folder, tag, to } => {
            let file = File::create(to).map_err(|e| format!("{}: {e}", to.display()))?;
            let mut file = BufWriter::new(file);
            open(folder)?.unpack(tag, &mut file).map_err(to_text)?;
            file.flush().map_err(|e| format!("{}: {e}", to.display()))?;
        }
        LayersCommand::Verify { folder } => {
            let check = open(folder)?.verify().map_err(to_text)?;
            println!(
                "{} models, {} chunks, {:.1} MB, {} wrong",
                check.models,
                check.chunks,
                mb(check.bytes),
                check.problems.len()
            );
            check.problems.iter().for_each(|w| println!("{w}"));
            return Ok(u8::from(!check.problems.is_empty()));
        }
        LayersCommand::Show { folder, tag: None } => {
            for (tag, digest) in open(folder)?.tags().map_err(to_text)? {
                println!("{tag} {digest}");
            }
        }
        LayersCommand::Show {
            folder,
            tag: Some(tag),
        } => {
            let (digest, manifest) = open(folder)?.manifest(tag).map_err(to_text)?;
            println!(
                "{tag} {digest}: {} chunks, {:.1} MB",
                manifest.chunks.len(),
                mb(manifest.bytes())
            );
            for chunk in &manifest.chunks {
                let packing = if chunk.packing == Packing::Zstd {
                    "zstd"
                } else {
                    "plain"
                };
                println!(
                    "{} {:>9} {:>9} {packing}",
                    chunk.digest, chunk.bytes, chunk.stored_bytes
                );
            }
        }
        LayersCommand::Agent {
            me,
            listen,
            store,
            list,
            folder,
            cache_mb,
            door,
        } => {
            return crate::run::run_agent(&crate::run::AgentOptions {
                me: *me,
                listen,
                store,
                list,
                folder,
                cache_mb: *cache_mb,
                door,
            });
        }
        LayersCommand::Diff {
            folder,
            first,
            second,
        } => {
            let diff = open(folder)?.diff(first, second).map_err(to_text)?;
            println!("both {:.1} MB", mb(diff.shared_bytes));
            println!("only {first} {:.1} MB", mb(diff.only_first_bytes));
            println!("only {second} {:.1} MB", mb(diff.only_second_bytes));
        }
    }
    Ok(0)
}
