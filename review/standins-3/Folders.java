import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Temporary folders. */
final class Folders {
    private Folders() {}

    /** Deletes a folder with its files. */
    static void delete(Path folder) throws IOException {
        try (Stream<Path> paths = Files.walk(folder)) {
            List<Path> deepestFirst = paths.sorted(Comparator.reverseOrder()).toList();
            for (Path path : deepestFirst) {
                Files.delete(path);
            }
        }
    }
}
