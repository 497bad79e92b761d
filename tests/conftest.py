from badgerroad.net import logs

logs.configure()
