//! Runs a script. Every call of a statement function is kept with its arguments and its place; nothing is looked at.

use serde_json::{Map, Value as Json};
use starlark::environment::{Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::none::NoneType;
use starlark::values::{ProvidesStaticType, Value, dict::DictRef};
use std::cell::RefCell;
use std::fmt;

/// What is wrong with a script: where, and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {why}")]
pub struct ScriptError {
    pub place: SourceLocation,
    pub why: String,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceLocation {
    pub file: String,
    pub line: usize,
}

impl fmt::Display for SourceLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)
    }
}

/// One call of a statement function.
#[derive(Clone, Debug)]
pub struct Statement {
    pub what: &'static str,
    pub said: Map<String, Json>,
    pub place: SourceLocation,
}

impl Statement {
    pub fn fault(&self, why: impl fmt::Display) -> ScriptError {
        ScriptError {
            place: self.place.clone(),
            why: format!("{}: {why}", self.what),
        }
    }

    /// The arguments as a typed value; unknown and missing ones are faults.
    pub fn read<T: serde::de::DeserializeOwned>(&self) -> Result<T, ScriptError> {
        // One at a time first, so that a fault names its argument.
        serde_json::from_value(Json::Object(self.said.clone())).map_err(|e| {
            let told = self.said.iter().find(|(_, v)| {
                let said = match v {
                    Json::String(s) => s.clone(),
                    other => other.to_string(),
                };
                e.to_string().contains(&format!("'{said}'"))
                    || e.to_string().starts_with(&format!("{said}:"))
            });
            match told {
                Some((name, _)) => self.fault(format!("{name} = {e}")),
                None => self.fault(e),
            }
        })
    }
}

#[derive(ProvidesStaticType, Default)]
struct Said(RefCell<Vec<Statement>>);

fn say<'v>(
    what: &'static str,
    first: Option<Value<'v>>,
    named: Value<'v>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> starlark::Result<NoneType> {
    let place = eval.call_stack_top_location().map(|span| SourceLocation {
        file: span.file.filename().to_owned(),
        line: span.resolve_span().begin.line + 1,
    });
    let mut said = Map::new();
    if let Some(first) = first {
        said.insert("name".into(), first.to_json_value()?);
    }
    for (name, value) in DictRef::from_value(named)
        .iter()
        .flat_map(|d| d.iter().collect::<Vec<_>>())
    {
        said.insert(
            name.unpack_str().unwrap_or_default().to_owned(),
            value.to_json_value()?,
        );
    }
    let kept = eval.extra.and_then(|e| e.downcast_ref::<Said>());
    let statement = Statement {
        what,
        said,
        place: place.unwrap_or_default(),
    };
    kept.expect("scripts run with a place to keep what they say")
        .0
        .borrow_mut()
        .push(statement);
    Ok(NoneType)
}

macro_rules! statements {
    ($($name:ident),+ $(,)?) => {
        /// Functions whose calls are statements.
        pub const STATEMENTS: &[&str] = &[$(stringify!($name)),+];

        #[starlark::starlark_module]
        fn statement_functions(builder: &mut GlobalsBuilder) {
            $(fn $name<'v>(
                #[starlark(require = pos)] first: Option<Value<'v>>,
                #[starlark(kwargs)] named: Value<'v>,
                eval: &mut Evaluator<'v, '_, '_>,
            ) -> starlark::Result<NoneType> {
                say(stringify!($name), first, named, eval)
            })+
        }
    };
}

statements!(
    deployment,
    machine,
    invokers,
    trigger_type,
    tenant,
    function,
    day,
    network,
    traffic,
    trouble,
    experiment,
    variant,
    fleet,
    bound,
    lease,
    trial,
    step
);

/// Runs a script's text; `file` is its name in faults.
pub fn run(file: &str, text: &str) -> Result<Vec<Statement>, ScriptError> {
    let fault = |e: starlark::Error| {
        let (at, line) = match e.span() {
            Some(span) => (
                span.file.filename().to_owned(),
                span.resolve_span().begin.line + 1,
            ),
            None => (file.to_owned(), 1),
        };
        ScriptError {
            place: SourceLocation { file: at, line },
            why: e.without_diagnostic().to_string(),
        }
    };
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_load: false,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(fault)?;
    let globals: Globals =
        GlobalsBuilder::extended_by(&[LibraryExtension::Json, LibraryExtension::StructType])
            .with(statement_functions)
            .build();
    let said = Said::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&said);
        eval.eval_module(ast, &globals).map(|_| ())
    })
    .map_err(fault)?;
    Ok(said.0.into_inner())
}
