use super::*;

fn names(folder: &Path) -> Vec<String> {
    let mut names: Vec<_> = fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    names
}

#[test]
fn failed_write_keeps_the_old_file_and_leaves_no_other() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("file");
    write_atomically(&path, b"first").unwrap();
    let failed: io::Result<()> = create_atomically(&path, |unfinished| {
        fs::write(unfinished, b"half a")?;
        Err(io::ErrorKind::StorageFull.into())
    });
    assert!(failed.is_err());
    assert_eq!(
        (fs::read(&path).unwrap(), names(folder.path())),
        (b"first".to_vec(), vec!["file".into()])
    );
}

#[test]
fn replaces_unfinished_file_of_killed_process() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("file");
    fs::write(unfinished_path(&path), b"more than is written now").unwrap();
    create_atomically(&path, |unfinished| write_synced(unfinished, b"new")).unwrap();
    assert_eq!(
        (fs::read(&path).unwrap(), names(folder.path())),
        (b"new".to_vec(), vec!["file".into()])
    );
}
