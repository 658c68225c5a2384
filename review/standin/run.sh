# Runs the program of a case: `. run.sh FOLDER PROGRAM`. Exits with its status, and with 2 where it can't run.
cd "$1/../.." || exit 2
temporary=$(mktemp -d) || exit 2
end() {
    # Processes that the program could not end itself.
    if [ -e "$temporary/pids" ]; then
        while read -r pid; do
            case $(readlink "/proc/$pid/exe" 2>/dev/null) in
                *camphorweir-entry*) kill -KILL "$pid" 2>/dev/null ;;
            esac
        done <"$temporary/pids"
    fi
    rm -rf "$temporary"
}
trap end EXIT
timeout -k 5 110 "target/review/$2" "review/$(basename "$1")" "$temporary"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
