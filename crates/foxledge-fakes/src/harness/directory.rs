//! The directory of one fleet's logs, settings and reports.

use std::{
    collections::HashSet,
    env, fs,
    path::{Path, PathBuf},
    sync::{LazyLock, Mutex, PoisonError},
    thread,
};

use anyhow::Context;

use super::processes::binary_path;

/// Directories made by this process.
static MADE: LazyLock<Mutex<HashSet<PathBuf>>> = LazyLock::new(Mutex::default);

/// Makes a directory beside the binaries, named after the running program and test.
///
/// It stays after the test, so that the logs of a failure can be read; the next run of the same
/// test empties it. The second fleet of one test gets a directory of its own.
pub fn make_directory() -> anyhow::Result<PathBuf> {
    let binaries = binary_path("foxledge-fake")?;
    let parent = binaries.parent().unwrap_or(Path::new(".")).join("fleets");
    let name = format!("{}-{}", program_name(), thread_name());
    let mut made = MADE.lock().unwrap_or_else(PoisonError::into_inner);
    let numbered = |number: usize| match number {
        1 => parent.join(&name),
        _ => parent.join(format!("{name}-{number}")),
    };
    let free = (1..).map(numbered).find(|path| !made.contains(path));
    let directory = free.context("no free directory")?;
    if directory.exists() {
        fs::remove_dir_all(&directory).with_context(|| directory.display().to_string())?;
    }
    fs::create_dir_all(&directory).with_context(|| directory.display().to_string())?;
    made.insert(directory.clone());
    Ok(directory)
}

fn program_name() -> String {
    let path = env::current_exe().unwrap_or_default();
    let stem = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
    // Test binaries end in a hash that changes with each build.
    match stem.rsplit_once('-') {
        Some((name, hash)) if hash.len() == 16 => name.to_owned(),
        _ => stem,
    }
}

fn thread_name() -> String {
    thread::current().name().unwrap_or("main").replace("::", "-")
}
