//! Fuzzes the parser, the checker, the compiler, the machine and the explanation with any text. Run
//! it by hand for a bounded time: `cargo fuzz run expression -- -max_total_time=120 -max_len=2000`.
//! The test `corpus` of the crate runs the corpus.

#![no_main]

#[path = "../../tests/common/mod.rs"]
mod common;

libfuzzer_sys::fuzz_target!(|text: &str| common::run_every_stage(text));
