//! `saltdrum layers`: folders of packed models.

use clap::Subcommand;
use saltdrum_layers::Packing;
use saltdrum_layers::layout::Layout;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;

#[derive(Subcommand)]
pub enum Layers {
    /// Cuts a model's file into chunks and puts it under a tag.
    Pack {
        model: PathBuf,
        /// The folder, made if it is not there.
        #[arg(long)]
        into: PathBuf,
        #[arg(long)]
        tag: String,
    },
    /// Puts a model together again.
    Unpack {
        folder: PathBuf,
        tag: String,
        #[arg(long)]
        to: PathBuf,
    },
    /// PollTimes at every byte that a tag leads to.
    Verify { folder: PathBuf },
    /// Lists the tags, or the chunks of one.
    Show {
        folder: PathBuf,
        tag: Option<String>,
    },
    /// Fetches models for one invoker and serves what it holds to peers, until interrupted.
    Agent {
        /// The invoker's number on the list.
        #[arg(long)]
        me: u32,
        /// Where peers come in; it must be the agent's address on the list.
        #[arg(long)]
        listen: String,
        /// A registry that speaks HTTP.
        #[arg(long)]
        store: String,
        #[arg(long)]
        list: String,
        /// Keeps chunks here.
        #[arg(long)]
        folder: PathBuf,
        #[arg(long, default_value_t = 10_000)]
        cache_mb: u64,
        /// Takes `load` and `status` here, as JSON-RPC by lines.
        #[arg(long)]
        door: String,
    },
    /// What two models share.
    Diff {
        folder: PathBuf,
        first: String,
        second: String,
    },
}

fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

/// 0 done, 1 something is damaged.
pub fn run(what: &Layers) -> Result<u8, String> {
    let open = |folder| Layout::open(folder).map_err(|e| e.to_string());
    let text = |e: saltdrum_layers::layout::LayoutError| e.to_string();
    match what {
        Layers::Pack { model, into, tag } => {
            let m = open(into)?.pack(model, tag).map_err(text)?;
            let (bytes, stored) = (mb(m.bytes()), mb(m.stored_bytes()));
            println!(
                "{tag}: {} chunks, {bytes:.1} MB, {stored:.1} MB stored",
                m.chunks.len()
            );
        }
        Layers::Unpack { folder, tag, to } => {
            let file = File::create(to).map_err(|e| format!("{}: {e}", to.display()))?;
            let mut file = BufWriter::new(file);
            open(folder)?.unpack(tag, &mut file).map_err(text)?;
            file.flush().map_err(|e| format!("{}: {e}", to.display()))?;
        }
        Layers::Verify { folder } => {
            let c = open(folder)?.verify().map_err(text)?;
            println!(
                "{} models, {} chunks, {:.1} MB, {} wrong",
                c.models,
                c.chunks,
                mb(c.bytes),
                c.problems.len()
            );
            c.problems.iter().for_each(|w| println!("{w}"));
            return Ok(u8::from(!c.problems.is_empty()));
        }
        Layers::Show { folder, tag: None } => {
            for (tag, digest) in open(folder)?.tags().map_err(text)? {
                println!("{tag} {digest}");
            }
        }
        Layers::Show {
            folder,
            tag: Some(tag),
        } => {
            let (digest, m) = open(folder)?.manifest(tag).map_err(text)?;
            println!(
                "{tag} {digest}: {} chunks, {:.1} MB",
                m.chunks.len(),
                mb(m.bytes())
            );
            for c in &m.chunks {
                let packing = if c.packing == Packing::Zstd {
                    "zstd"
                } else {
                    "plain"
                };
                println!(
                    "{} {:>9} {:>9} {packing}",
                    c.digest, c.bytes, c.stored_bytes
                );
            }
        }
        Layers::Agent {
            me,
            listen,
            store,
            list,
            folder,
            cache_mb,
            door,
        } => {
            return crate::run::agent(&crate::run::AgentSeat {
                me: *me,
                listen,
                store,
                list,
                folder,
                cache_mb: *cache_mb,
                door,
            });
        }
        Layers::Diff {
            folder,
            first,
            second,
        } => {
            let d = open(folder)?.diff(first, second).map_err(text)?;
            println!("both {:.1} MB", mb(d.shared_bytes));
            println!("only {first} {:.1} MB", mb(d.only_first_bytes));
            println!("only {second} {:.1} MB", mb(d.only_second_bytes));
        }
    }
    Ok(0)
}
