package baobabcroft;

/** The router's single executable. */
public final class Main {
    private Main() {}

    /**
     * Runs the command that the arguments name.
     *
     * @param args command-line arguments
     */
    public static void main(String[] args) {
        System.out.println("baobabcroft");
    }
}
