package baobabcroft;

import net.jqwik.api.Example;
import org.junit.jupiter.api.Test;

class SmokeTest {
    @Test
    void nothing() {}

    @Example
    void nothingToo() {}
}
