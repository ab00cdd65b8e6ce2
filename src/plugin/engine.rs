//! The embedded engine with its bounds: operations, time, depth and sizes.
//!
//! The engine's standard functions are native code, which the engine cannot interrupt. The time of
//! each is bounded by the sizes of its arguments, except for those that are replaced or disabled here:
//!
//! | function | problem | here |
//! | --- | --- | --- |
//! | `sleep` | blocks the thread | fails |
//! | `replace` | its result may be as long as the product of two sizes | fails before it builds a result that is too long |
//! | `curry` | a function pointer that contains itself repeatedly grows exponentially | disabled |
//! | `eval` | compiles at run time | disabled |
//!
//! Scripts are compiled without optimization, which would evaluate constants without these bounds.

use super::run_time::RunDeadline;
use super::PluginSettings;
use rhai::{
    Dynamic, Engine, EvalAltResult, ImmutableString, NativeCallContext, OptimizationLevel,
    Position, FLOAT, INT,
};

/// Deepest nesting of calls in a script. Protects the stack of the serving thread.
const MAX_CALL_DEPTH: usize = 16;
/// Deepest nesting of an expression. Protects the stack of the serving thread.
const MAX_EXPRESSION_DEPTH: usize = 32;
/// Most variables in scope, and most functions.
const MAX_DEFINITIONS: usize = 64;
/// Functions that are disabled by name; a script that uses one does not compile.
const DISABLED_FUNCTIONS: [&str; 2] = ["eval", "curry"];

type FunctionResult = Result<(), Box<EvalAltResult>>;

/// Creates an engine with the limits of these settings, which stops a run at `deadline`.
pub(super) fn bounded_engine(settings: &PluginSettings, deadline: RunDeadline) -> Engine {
    let mut engine = Engine::new();
    engine
        .set_optimization_level(OptimizationLevel::None)
        .set_max_operations(settings.operations)
        .set_max_call_levels(MAX_CALL_DEPTH)
        .set_max_expr_depths(MAX_EXPRESSION_DEPTH, MAX_EXPRESSION_DEPTH)
        .set_max_variables(MAX_DEFINITIONS)
        .set_max_functions(MAX_DEFINITIONS)
        .set_max_string_size(settings.size)
        .set_max_array_size(settings.size)
        .set_max_map_size(settings.size)
        .on_progress(move |_| deadline.has_passed().then_some(Dynamic::UNIT))
        .on_print(|text| tracing::debug!(text, "output of print in the plugin script"))
        .on_debug(|text, _, _| tracing::debug!(text, "output of debug in the plugin script"));
    for name in DISABLED_FUNCTIONS {
        engine.disable_symbol(name);
    }
    replace_unbounded_functions(&mut engine);
    engine
}

/// Registers bounded functions in place of the standard ones. The engine looks up registered functions
/// before its standard library, also for calls through function pointers.
fn replace_unbounded_functions(engine: &mut Engine) {
    engine.register_fn("sleep", |_seconds: INT| sleep_unavailable());
    engine.register_fn("sleep", |_seconds: FLOAT| sleep_unavailable());
    engine.register_fn("replace", replace);
    engine.register_fn(
        "replace",
        |context: NativeCallContext, string: &mut ImmutableString, find: char, by: &str| {
            replace(context, string, find.encode_utf8(&mut [0; 4]), by)
        },
    );
}

fn sleep_unavailable() -> FunctionResult {
    Err("sleep is not available in a plugin script".into())
}

/// Replaces each match in the string, unless the result would be longer than a string may be.
fn replace(
    context: NativeCallContext,
    string: &mut ImmutableString,
    find: &str,
    by: &str,
) -> FunctionResult {
    if string.is_empty() {
        return Ok(());
    }
    let matches = string.matches(find).count();
    let kept_bytes = string.len() - matches * find.len();
    let new_bytes = kept_bytes.saturating_add(matches.saturating_mul(by.len()));
    if new_bytes > context.engine().max_string_size() {
        let error = EvalAltResult::ErrorDataTooLarge("Length of string".into(), Position::NONE);
        return Err(error.into());
    }
    *string = string.replace(find, by).into();
    Ok(())
}
