package portrelay.net;

import java.util.EnumMap;
import java.util.Map;
import portrelay.door.Room;

/** What went on at the door since the last line of the log that told of it. */
final class DoorCounts {

    int accepted;
    int full;
    private final Map<Room.Phase, Integer> madeWay = new EnumMap<>(Room.Phase.class);
    private final Map<Room.Phase, Integer> tooLong = new EnumMap<>(Room.Phase.class);

    void ended(Room.Ending ending) {
        Map<Room.Phase, Integer> of = ending.cause() == Room.Cause.MADE_WAY ? madeWay : tooLong;
        of.merge(ending.phase(), 1, Integer::sum);
    }

    /** Null where nothing happened that on-call would want to know of; begins to count anew. */
    String line() {
        String line = null;
        if (full > 0 || !madeWay.isEmpty() || !tooLong.isEmpty()) {
            line = "door accepted=" + accepted + " made-way=" + madeWay + " too-long=" + tooLong
                    + " denied-no-room=" + full;
        }
        accepted = 0;
        full = 0;
        madeWay.clear();
        tooLong.clear();
        return line;
    }
}
