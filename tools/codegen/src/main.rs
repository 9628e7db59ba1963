//! Regenerates the committed Cap'n Proto code. Run it from the repository root
//! after changing the schema; it needs Debian's `capnproto` package.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    capnpc::CompilerCommand::new()
        .src_prefix("crates/guavacourse/schema")
        .default_parent_module(vec!["generated".to_string()])
        .file("crates/guavacourse/schema/wire.capnp")
        .output_path("crates/guavacourse/src/generated")
        .run()?;
    Ok(())
}
