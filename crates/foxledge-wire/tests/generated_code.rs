//! The committed code is what the `.proto` files give.
//!
//! Run with `FOXLEDGE_REGENERATE=1` to write it anew.

use std::{env, fs, path::Path};

const FILES: [&str; 2] = ["flow.proto", "control.proto"];
const OUTPUTS: [&str; 2] = ["foxledge.flow.v1.rs", "foxledge.control.v1.rs"];

#[test]
fn matches_protos() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let scratch = env::temp_dir().join(format!("foxledge-wire-{}", std::process::id()));
    fs::create_dir_all(&scratch).unwrap();

    let set = protox::compile(FILES, [root.join("proto")]).unwrap();
    let gate = "#[cfg(feature = \"services\")]";
    tonic_prost_build::configure()
        .client_mod_attribute(".", gate)
        .server_mod_attribute(".", gate)
        .out_dir(&scratch)
        .compile_fds(set)
        .unwrap();

    for output in OUTPUTS {
        let fresh = fs::read_to_string(scratch.join(output)).unwrap();
        let committed = root.join("src/generated").join(output);
        if env::var_os("FOXLEDGE_REGENERATE").is_some() {
            fs::write(&committed, &fresh).unwrap();
        }
        let kept = fs::read_to_string(&committed).unwrap_or_default();
        assert!(kept == fresh, "{output} is not what the .proto files give");
    }
    fs::remove_dir_all(&scratch).unwrap();
}
