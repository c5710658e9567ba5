package baobabcroft.standin;

/** The stand-ins executable. */
public final class StandinMain {
    private StandinMain() {}

    /**
     * Runs the command that the arguments name.
     *
     * @param args command-line arguments
     */
    public static void main(String[] args) {
        System.out.println("baobabcroft");
    }
}
