"""Hot restart: a running process hands its listener, connections and open requests over to a newly started one."""
