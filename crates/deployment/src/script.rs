//! Evaluates a script and records every call of a statement function with its arguments and its source location, without
//! validating the arguments.

use serde_json::{Map, Value as Json};
use starlark::environment::{Globals, GlobalsBuilder, LibraryExtension, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::none::NoneType;
use starlark::values::{ProvidesStaticType, Value, dict::DictRef};
use std::cell::RefCell;
use std::fmt;

/// An error in a script, with its source location and what was expected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {why}")]
pub struct ScriptError {
    /// Location of the statement or expression at fault.
    pub place: SourceLocation,
    /// What is wrong and what was expected.
    pub why: String,
}

/// A file and a line, counted from 1.
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
    /// Name of the statement function.
    pub what: &'static str,
    /// Arguments by name; the positional one is called `name`.
    pub said: Map<String, Json>,
    /// Location of the call.
    pub place: SourceLocation,
}

impl Statement {
    /// Creates an error at this statement's location.
    pub fn fault(&self, why: impl fmt::Display) -> ScriptError {
        ScriptError {
            place: self.place.clone(),
            why: format!("{}: {why}", self.what),
        }
    }

    /// Deserializes the arguments into a typed value; unknown and missing arguments are errors.
    pub fn read<T: serde::de::DeserializeOwned>(&self) -> Result<T, ScriptError> {
        // serde's message contains the offending value but not the argument, which is found by that value.
        serde_json::from_value(Json::Object(self.said.clone())).map_err(|error| {
            let offending = self.said.iter().find(|(_, value)| {
                let text = match value {
                    Json::String(text) => text.clone(),
                    other => other.to_string(),
                };
                error.to_string().contains(&format!("'{text}'"))
                    || error.to_string().starts_with(&format!("{text}:"))
            });
            match offending {
                Some((name, _)) => self.fault(format!("{name} = {error}")),
                None => self.fault(error),
            }
        })
    }
}

/// The statements of a script, in the order in which they were evaluated.
#[derive(ProvidesStaticType, Default)]
struct RecordedStatements(RefCell<Vec<Statement>>);

/// Appends a call of statement function `what` to the recorded statements.
fn record_statement<'v>(
    what: &'static str,
    first: Option<Value<'v>>,
    named: Value<'v>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> starlark::Result<NoneType> {
    let place = eval.call_stack_top_location().map(|span| SourceLocation {
        file: span.file.filename().to_owned(),
        line: span.resolve_span().begin.line + 1,
    });
    let mut arguments = Map::new();
    if let Some(first) = first {
        arguments.insert("name".into(), first.to_json_value()?);
    }
    for (name, value) in DictRef::from_value(named)
        .iter()
        .flat_map(|arguments| arguments.iter().collect::<Vec<_>>())
    {
        arguments.insert(
            name.unpack_str().unwrap_or_default().to_owned(),
            value.to_json_value()?,
        );
    }
    let recorded = eval
        .extra
        .and_then(|extra| extra.downcast_ref::<RecordedStatements>());
    let statement = Statement {
        what,
        said: arguments,
        place: place.unwrap_or_default(),
    };
    recorded
        .expect("scripts are evaluated with a list for recorded statements")
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
                record_statement(stringify!($name), first, named, eval)
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

/// Evaluates a script's text; `file` is its name in errors.
pub fn run(file: &str, text: &str) -> Result<Vec<Statement>, ScriptError> {
    let script_error = |error: starlark::Error| {
        let (error_file, line) = match error.span() {
            Some(span) => (
                span.file.filename().to_owned(),
                span.resolve_span().begin.line + 1,
            ),
            None => (file.to_owned(), 1),
        };
        ScriptError {
            place: SourceLocation {
                file: error_file,
                line,
            },
            why: error.without_diagnostic().to_string(),
        }
    };
    let dialect = Dialect {
        enable_top_level_stmt: true,
        enable_load: false,
        ..Dialect::Standard
    };
    let ast = AstModule::parse(file, text.to_owned(), &dialect).map_err(script_error)?;
    let globals: Globals =
        GlobalsBuilder::extended_by(&[LibraryExtension::Json, LibraryExtension::StructType])
            .with(statement_functions)
            .build();
    let recorded = RecordedStatements::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&recorded);
        eval.eval_module(ast, &globals).map(|_| ())
    })
    .map_err(script_error)?;
    Ok(recorded.0.into_inner())
}
