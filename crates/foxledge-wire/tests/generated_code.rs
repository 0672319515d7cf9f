//! Compares the committed code with what the `.proto` files generate.
//!
//! With `FOXLEDGE_REGENERATE=1` in the environment, the test overwrites the committed code.

use std::{env, fs, path::Path};

const PROTO_FILES: [&str; 2] = ["flow.proto", "control.proto"];
const GENERATED_FILES: [&str; 2] = ["foxledge.flow.v1.rs", "foxledge.control.v1.rs"];

// Guards against a change of a `.proto` file without its generated code.
#[test]
fn committed_code_matches_the_proto_files() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output_dir = env::temp_dir().join(format!("foxledge-wire-{}", std::process::id()));
    fs::create_dir_all(&output_dir).unwrap();

    let descriptors = protox::compile(PROTO_FILES, [root.join("proto")]).unwrap();
    let feature_gate = "#[cfg(feature = \"services\")]";
    tonic_prost_build::configure()
        .client_mod_attribute(".", feature_gate)
        .server_mod_attribute(".", feature_gate)
        .out_dir(&output_dir)
        .compile_fds(descriptors)
        .unwrap();

    for output in GENERATED_FILES {
        let generated = fs::read_to_string(output_dir.join(output)).unwrap();
        let committed_path = root.join("src/generated").join(output);
        if env::var_os("FOXLEDGE_REGENERATE").is_some() {
            fs::write(&committed_path, &generated).unwrap();
        }
        let committed_text = fs::read_to_string(&committed_path).unwrap_or_default();
        assert!(
            committed_text == generated,
            "{output} differs from what the .proto files generate"
        );
    }
    fs::remove_dir_all(&output_dir).unwrap();
}
