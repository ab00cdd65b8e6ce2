//! Any text through parser, checker, compiler, machine and explanation. By hand, for a bounded time:
//! `cargo fuzz run expression -- -max_total_time=120 -max_len=2000`. The corpus runs as a test of the crate.

#![no_main]

#[path = "../../tests/common/mod.rs"]
mod common;

libfuzzer_sys::fuzz_target!(|text: &str| common::whole_way(text));
