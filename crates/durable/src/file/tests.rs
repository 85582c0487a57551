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
fn what_fails_leaves_what_was_there_and_nothing_beside_it() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("file");
    write_whole(&path, b"first").unwrap();
    let failed: io::Result<()> = make_whole(&path, |unfinished| {
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
fn what_a_killed_process_left_is_replaced() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("file");
    fs::write(unfinished(&path), b"more than is written now").unwrap();
    make_whole(&path, |unfinished| write_synced(unfinished, b"new")).unwrap();
    assert_eq!(
        (fs::read(&path).unwrap(), names(folder.path())),
        (b"new".to_vec(), vec!["file".into()])
    );
}
